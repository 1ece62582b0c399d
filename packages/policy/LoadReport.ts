/** Load of a target as its agent reported it. Times are monotonic milliseconds of the receiving entry. */
export interface LoadReport {
  /** When the report was received, less the lag that the agent states. */
  readonly measuredAtMs: number;
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly runningTokenCount: number;
  /** Requests that the engine runs in one batch. */
  readonly batchLimitCount: number;
  /** Time of one decoding step. */
  readonly stepMs: number;
  readonly kvFreeShare: number;
  /** Slowest rank over mean rank of the target's group; 1 for a target that runs alone. */
  readonly groupSkew: number;
}
