/** Leased share of a team's fleet-wide limits that one entry may use until the lease ends. */
export interface LimitShare {
  readonly team: string;
  /** Share of the limits, 0 to 1. */
  readonly share: number;
  /** Start and end of the lease in the entry's monotonic time, counted from sending the report. */
  readonly leaseStartMs: number;
  readonly leaseEndMs: number;
}
