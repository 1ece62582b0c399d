/** Transfer of one expert's weights from the weight store to a rank. */
export interface ExpertMove {
  readonly layer: number;
  readonly expert: number;
  readonly toRank: number;
  readonly sizeBytes: number;
  /** Start relative to the start of the plan, at the granted rate of the weight store. */
  readonly startMs: number;
  readonly durationMs: number;
}
