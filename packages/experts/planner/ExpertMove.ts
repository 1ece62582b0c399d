/** Load of one expert's weights from the weight store into a rank. */
export interface ExpertMove {
  readonly layer: number;
  readonly expert: number;
  readonly toRank: number;
  readonly sizeBytes: number;
  /** Start after the plan begins, at the granted rate of the weight store. */
  readonly startMs: number;
  readonly durationMs: number;
}
