import type { RankHosting } from "./RankHosting";

/** Next placement of a group's experts. */
export interface EvenPlan {
  readonly hosting: RankHosting;
  /** Mean over the layer sets of the most loaded rank's load against the mean, before and after. */
  readonly presentSkew: number;
  readonly plannedSkew: number;
  /** New experts on all ranks together. */
  readonly copies: number;
  /** Most new experts on any rank. */
  readonly newPerRank: number;
}
