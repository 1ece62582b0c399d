import type { RankStatus } from "@clementinemux/experts/activation/RankStatus";
import type { RankWindow } from "./RankWindow";

/** Answer of an agent's `GET /agent/rank`, with the load window when it was asked for by `?report=1`. */
export interface RankLook {
  /** Stamp of the agent, for orders through it. */
  readonly stamp: string;
  /** Status of the engine. `epochSeen` is the agent's, which refuses lower epochs also before its engine. */
  readonly status: RankStatus;
  readonly report: RankWindow | null;
}
