/** How long a request takes from now until its answer is complete. */
export interface RequestDuration {
  readonly expectedMs: number;
  /** Ended by the route's timeout or the caller's deadline at this time. */
  readonly latestMs: number;
}
