import type { LeadReport } from "./LeadReport";

/** Answer of an agent's `GET /agent/group`. */
export interface GroupAnswer {
  readonly group: string;
  /** Target and agent address of the lead, as far as this agent knows; empty before its first answer. */
  readonly lead: string;
  readonly leadAddress: string;
  readonly epoch: number;
  /** Null when this agent does not lead: ask the lead. */
  readonly report: LeadReport | null;
}
