/** What is expected of a target if it gets a request. */
export interface TargetEstimate {
  /** Time in which it completes the request. */
  readonly finishMs: number;
  /** Whether its memory holds the request until its end. */
  readonly hasMemory: boolean;
}
