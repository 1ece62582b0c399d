import type { ShiftPlacement } from "./ShiftPlacement";

/** Features that are enabled in a run. */
export interface ShiftPolicy {
  readonly name: string;
  readonly placement: ShiftPlacement;
  /** Whether the gateway's concurrency limit for the group follows the gaps that it measures. */
  readonly limitsByMeasuredGaps: boolean;
  /** Longest time for which a gateway delays an event to even out gaps; 0 for no delay. */
  readonly maxHoldMs: number;
}
