import type { RankHosting } from "./RankHosting";

/** Planned placement of a group's experts. */
export interface BalancedPlan {
  readonly hosting: RankHosting;
  /** Ratio of the most loaded rank to the mean rank, averaged over the layer sets, before and after. */
  readonly presentSkew: number;
  readonly plannedSkew: number;
  /** Experts that have to be copied, summed over all ranks. */
  readonly copies: number;
  /** Highest number of new experts on one rank. */
  readonly newPerRank: number;
}
