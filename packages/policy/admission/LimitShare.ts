/** Leased part of a team's fleet-wide limits that one entry may use until the lease ends. */
export interface LimitShare {
  readonly team: string;
  /** Part of the limits, 0 to 1. */
  readonly share: number;
  /** Start and end of the lease in the entry's monotonic time, counted from the sending of the report. */
  readonly leaseStartMs: number;
  readonly leaseEndMs: number;
}
