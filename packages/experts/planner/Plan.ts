import type { ExpertMap } from "../ExpertMap";
import type { ExpertMove } from "./ExpertMove";
import type { PlanReason } from "./PlanReason";

/** Outcome of planning. */
export interface Plan {
  readonly reason: PlanReason;
  /** Next map; the present one, unchanged, when nothing is to be done. */
  readonly map: ExpertMap;
  readonly isChanged: boolean;
  /** In the order in which the weights are loaded. */
  readonly moves: readonly ExpertMove[];
  readonly presentSkew: number;
  /** Skew after the shift of the split alone. */
  readonly splitSkew: number;
  readonly predictedSkew: number;
  readonly bytes: number;
  readonly transferMs: number;
  /** Step time saved over the horizon. */
  readonly savedMs: number;
  /** Work delayed by loading weights and by the activation. */
  readonly delayedMs: number;
}
