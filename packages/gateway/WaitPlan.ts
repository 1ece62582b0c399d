/** How a request waits for a place. */
export interface WaitPlan {
  /** Longest wait, counted from the arrival. */
  readonly limitMs: number;
  /** Share of the service's cap below which the request is sent before the wait is over. */
  readonly capShare: number;
}
