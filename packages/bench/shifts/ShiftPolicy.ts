import type { ShiftLead } from "./ShiftLead";

/** What is switched on in a run of the model. */
export interface ShiftPolicy {
  readonly name: string;
  readonly lead: ShiftLead;
  /** Whether gateways cap the requests of a group by the pauses they measure. */
  readonly hasCap: boolean;
  /** Longest time for which a gateway holds an event back. */
  readonly maxHoldMs: number;
}
