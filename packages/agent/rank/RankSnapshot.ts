import type { RankStatus } from "@clementinemux/experts/activation/RankStatus";
import type { RankLoadWindow } from "./RankLoadWindow";

/** Response of an agent's `GET /agent/rank`. */
export interface RankSnapshot {
  /** Stamp of the agent, to be sent with orders through it. */
  readonly stamp: string;
  /** Status of the engine, with the `epochSeen` of the agent, which rejects orders of lower epochs itself. */
  readonly status: RankStatus;
  /** Load window; null unless it was requested with `?report=1`. */
  readonly report: RankLoadWindow | null;
}
