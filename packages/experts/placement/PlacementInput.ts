import type { PlacementItem } from "./PlacementItem";
import type { RunnerState } from "./RunnerState";

/** Input of placement planning. */
export interface PlacementInput {
  readonly items: readonly PlacementItem[];
  readonly runners: readonly RunnerState[];
  /** Prefill share of the demand. */
  readonly prefillShare: number;
  /** Maximum size of the weights that this plan may load from the weight store. */
  readonly maxBytes: number;
}
