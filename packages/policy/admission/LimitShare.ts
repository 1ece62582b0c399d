/** Part of a team's fleet-wide limits that one entry may use until the lease ends. */
export interface LimitShare {
  readonly team: string;
  readonly requestsPerS: number;
  readonly tokensPerS: number;
  /** Start and end of the lease in the entry's monotonic time, counted from the sending of the renewal. */
  readonly leaseStartMs: number;
  readonly leaseEndMs: number;
}
