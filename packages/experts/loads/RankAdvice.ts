import type { RankVerdict } from "./RankVerdict";

/** Outcome of comparing the compute times of a group's ranks with their loads. */
export interface RankAdvice {
  readonly verdicts: readonly RankVerdict[];
  /** Work per unit of time relative to the median rank; 1 unless the rank is slow in itself. */
  readonly rankSpeeds: Float64Array;
  readonly slowRanks: ReadonlySet<number>;
  /** Ranks found slow in themselves by this judgement and not reported before in this incarnation. */
  readonly reportForReplacement: readonly number[];
  /** Whether the group loses so much to slow ranks that it is better drained. */
  readonly suggestDrain: boolean;
}
