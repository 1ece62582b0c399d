import type { LeaderReport } from "./LeaderReport";

/** Response of an agent's `GET /agent/group`. */
export interface RankGroupStatus {
  readonly group: string;
  /** Target of the leader as last reported by control; empty before the first response. */
  readonly lead: string;
  /** Agent address of the leader; empty before control's first response. */
  readonly leadAddress: string;
  readonly epoch: number;
  /** Null when this agent is not the leader; the leader's own response has the report. */
  readonly report: LeaderReport | null;
}
