import type { ExpertMap } from "../ExpertMap";
import type { ExpertMove } from "./ExpertMove";
import type { PlanReason } from "./PlanReason";

/** Outcome of planning. */
export interface Plan {
  readonly reason: PlanReason;
  /** Next map; the present one if nothing changes. */
  readonly map: ExpertMap;
  readonly isChanged: boolean;
  /** In the order in which the weights are loaded. */
  readonly moves: readonly ExpertMove[];
  readonly presentSkew: number;
  /** Skew if only the split of load among replicas is changed. */
  readonly splitSkew: number;
  readonly predictedSkew: number;
  readonly bytes: number;
  readonly transferMs: number;
  /** Step time saved over the horizon. */
  readonly savedMs: number;
  /** Time by which loading weights and activating the map delay work. */
  readonly delayedMs: number;
}
