import type { LoadReport } from "@clementinemux/policy/LoadReport";

/** Load of a target as reported by its engine. */
export interface AgentLoad extends Omit<LoadReport, "measuredAtMs"> {
  /** Age of the report when the response was sent: lag of the engine plus time since the poll. */
  readonly ageMs: number;
}
