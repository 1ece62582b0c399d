/** Load of a target, as its engine stated it. */
export interface AgentLoad {
  /** Age of the figures when the answer was sent: lag of the engine plus time since the poll. */
  readonly ageMs: number;
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly runningTokenCount: number;
  readonly batchLimitCount: number;
  readonly stepMs: number;
  readonly kvFreeShare: number;
  readonly groupSkew: number;
}
