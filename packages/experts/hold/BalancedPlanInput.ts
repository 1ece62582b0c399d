import type { RankHosting } from "./RankHosting";

/** Input for planning a group whose replicas share an expert's load equally. */
export interface BalancedPlanInput {
  readonly present: RankHosting;
  /** Load by layer set and expert, in any unit. */
  readonly loads: readonly Float64Array[];
  /** Slowdown of each rank: its time for the same work as a multiple of a healthy rank's. */
  readonly paces: readonly number[];
  /** Expert slots of a rank in one layer set. */
  readonly placements: number;
  /** Maximum of new experts per rank and layer set in one plan. */
  readonly spare: number;
  /**
   * Maximum of new experts per rank in one plan, over all layer sets; a rank copies them one after the other.
   */
  readonly maxNewPerRank: number;
  /** A layer set is not changed while its skew is at most this; more than 1. */
  readonly goalSkew: number;
}
