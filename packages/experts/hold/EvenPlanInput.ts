import type { RankHosting } from "./RankHosting";

/** Everything that a plan for a group with an even split depends on. */
export interface EvenPlanInput {
  readonly present: RankHosting;
  /** Load by layer set and expert, in any unit. */
  readonly loads: readonly Float64Array[];
  /** Time of each rank for the same work, 1 for a healthy one. */
  readonly paces: readonly number[];
  /** Experts that a rank can hold in one layer set. */
  readonly placements: number;
  /** New experts that one plan may bring to a rank in one layer set. */
  readonly spare: number;
  /** New experts that one plan may bring to a rank in all layer sets together; it copies them one after the other. */
  readonly maxNewPerRank: number;
  /** A layer set whose most loaded rank is within this factor of the mean is left as it is; more than 1. */
  readonly goalSkew: number;
}
