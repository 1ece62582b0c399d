import type { LoadReport } from "@clementinemux/policy/LoadReport";

/** Load of a target, as its engine stated it. */
export interface AgentLoad extends Omit<LoadReport, "measuredAtMs"> {
  /** Age of the figures when the answer was sent: lag of the engine plus time since the poll. */
  readonly ageMs: number;
}
