import type { ExpertMap } from "../ExpertMap";
import type { GroupShape } from "../GroupShape";
import type { PlanWeights } from "./PlanWeights";

/** Input of the planner. */
export interface PlanInput {
  readonly shape: GroupShape;
  readonly present: ExpertMap;
  /** Forecast load per layer and expert, in tokens per second. */
  readonly loads: readonly Float64Array[];
  /** Relative error of a rank's forecast load; smaller gains do not justify a new map. */
  readonly errorShare: number;
  /** Work per unit of time of each rank relative to a healthy one. */
  readonly rankSpeeds: Float64Array;
  /**
   * Stragglers, which are slow regardless of load: their share may shrink, but no weights are moved off them.
   */
  readonly fixedRanks: ReadonlySet<number>;
  readonly weights: PlanWeights;
  /** Bandwidth of the weight store that is granted to this group. */
  readonly storeBytesPerS: number;
  /** Maximum size of the weights that one plan may load. */
  readonly maxBytes: number;
  /** Whether it is a busy hour, in which no weights are moved. */
  readonly isBusy: boolean;
}
