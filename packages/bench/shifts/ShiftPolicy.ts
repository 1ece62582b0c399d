import type { ShiftLead } from "./ShiftLead";

/** Features that are enabled in a run. */
export interface ShiftPolicy {
  readonly name: string;
  readonly lead: ShiftLead;
  /** Whether the gateway's concurrency limit for the group follows the gaps that it measures. */
  readonly hasCap: boolean;
  /** Longest time for which a gateway delays an event to even out gaps; 0 for no delay. */
  readonly maxHoldMs: number;
}
