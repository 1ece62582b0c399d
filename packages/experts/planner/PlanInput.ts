import type { ExpertMap } from "../ExpertMap";
import type { GroupShape } from "../GroupShape";
import type { PlanWeights } from "./PlanWeights";

/** Everything that a plan depends on. */
export interface PlanInput {
  readonly shape: GroupShape;
  readonly present: ExpertMap;
  /** Forecast load per layer and expert, in tokens per second. */
  readonly loads: readonly Float64Array[];
  /** Relative error of the forecast load of a rank; changes below it are not worth a map. */
  readonly errorShare: number;
  /** Work per unit of time of each rank relative to a healthy one. */
  readonly rankSpeeds: Float64Array;
  /** Ranks that are slow in themselves; their share may shrink, but no weights move because of them. */
  readonly fixedRanks: ReadonlySet<number>;
  readonly weights: PlanWeights;
  /** Rate of the weight store that is granted to this group. */
  readonly storeBytesPerS: number;
  /** Most weights that one plan may load. */
  readonly maxBytes: number;
  /** Whether the present hour is listed as busy: no weights are moved. */
  readonly isBusy: boolean;
}
