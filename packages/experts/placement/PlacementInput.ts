import type { PlacementItem } from "./PlacementItem";
import type { RunnerState } from "./RunnerState";

/** Everything that placement depends on. */
export interface PlacementInput {
  readonly items: readonly PlacementItem[];
  readonly runners: readonly RunnerState[];
  /** Share of the demand that is prefill work. */
  readonly prefillShare: number;
  /** Bytes that the weight store grants for this plan. */
  readonly maxBytes: number;
}
