/** Load of a target as reported by its agent. Times are monotonic milliseconds of the receiving entry. */
export interface LoadReport {
  /** Time at which the report was received, minus the lag that the agent reports. */
  readonly measuredAtMs: number;
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly runningTokenCount: number;
  /** Most requests that the engine runs in one batch. */
  readonly batchLimitCount: number;
  /** Duration of one decoding step. */
  readonly stepMs: number;
  readonly kvFreeShare: number;
  /** Slowest rank relative to the mean rank of the target's group; 1 for a target without a group. */
  readonly groupSkew: number;
}
