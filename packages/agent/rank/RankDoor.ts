import type { RankStatus } from "@clementinemux/experts/activation/RankStatus";
import type { TargetClient } from "../TargetClient";
import type { RankLook } from "./RankLook";
import type { RankWindow } from "./RankWindow";

interface RankDoorOptions {
  readonly client: TargetClient;
  readonly statusPath: string;
  readonly mapPath: string;
  readonly createStamp: () => string;
  /** Highest epoch of which this agent has admitted an order. */
  readonly getEpochSeen: () => number;
}

interface EngineRank {
  readonly status: RankStatus;
  readonly report: RankWindow | null;
}

const engineTimeoutMs = 1000;

/** Rank side of a group in the agent: passes the engine's confirmations on. Orders go through the order desk. */
export class RankDoor {
  readonly #options: RankDoorOptions;

  constructor(options: RankDoorOptions) {
    this.#options = options;
  }

  /** Rejects when the engine gives no status. */
  async look(withReport: boolean): Promise<RankLook> {
    const { statusPath, createStamp, getEpochSeen } = this.#options;
    // Read before the engine is asked: an order of an older epoch may be on its way to the engine until then.
    const epochSeen = getEpochSeen();
    const { status, report } = JSON.parse(
      await this.#get(withReport ? `${statusPath}?report=1` : statusPath),
    ) as EngineRank;
    return { stamp: createStamp(), status: { ...status, epochSeen }, report: withReport ? report : null };
  }

  /** Map of a version as the engine holds it, in JSON. Rejects when the engine does not know it. */
  getMap(version: number): Promise<string> {
    return this.#get(`${this.#options.mapPath}?version=${version}`);
  }

  async #get(path: string): Promise<string> {
    const answer = await this.#options.client.send({ method: "GET", path, timeoutMs: engineTimeoutMs });
    if (answer.status !== 200) {
      throw new Error(`engine answered ${path} with status ${answer.status}`);
    }
    return answer.text;
  }
}
