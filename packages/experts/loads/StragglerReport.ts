import type { RankAssessment } from "./RankAssessment";

/** Result of comparing the compute times of a group's ranks with their loads. */
export interface StragglerReport {
  readonly assessments: readonly RankAssessment[];
  /** Work per unit of time relative to the median rank; 1 unless the rank is a straggler. */
  readonly rankSpeeds: Float64Array;
  readonly slowRanks: ReadonlySet<number>;
  /** Ranks that are newly detected as stragglers in this window. */
  readonly reportForReplacement: readonly number[];
  /** Whether the group loses so much throughput to stragglers that it should be drained. */
  readonly suggestDrain: boolean;
}
