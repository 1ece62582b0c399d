/** Predicted time from now until the response to a request is complete. */
export interface RequestDuration {
  readonly expectedMs: number;
  /** Time until the route's timeout or the caller's deadline ends the request. */
  readonly latestMs: number;
}
