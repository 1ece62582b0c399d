import type { RankStatus } from "@clementinemux/experts/activation/RankStatus";
import type { TargetClient } from "../TargetClient";
import type { RankLook } from "./RankLook";
import type { RankWindow } from "./RankWindow";

interface RankDoorOptions {
  readonly client: TargetClient;
  readonly statusPath: string;
  readonly mapPath: string;
  readonly createStamp: () => string;
  /** Highest epoch among the orders that this agent has admitted. */
  readonly getEpochSeen: () => number;
}

interface EngineRank {
  readonly status: RankStatus;
  readonly report: RankWindow | null;
}

const engineTimeoutMs = 1000;

/** Reads the rank's status and expert maps from the engine. Orders are sent by `OrderQueue`. */
export class RankDoor {
  readonly #options: RankDoorOptions;

  constructor(options: RankDoorOptions) {
    this.#options = options;
  }

  /** Rejects when the engine returns no status. */
  async look(withReport: boolean): Promise<RankLook> {
    const { statusPath, createStamp, getEpochSeen } = this.#options;
    // Read before the request to the engine: an order of an older epoch may reach the engine until then.
    const epochSeen = getEpochSeen();
    const { status, report } = JSON.parse(
      await this.#get(withReport ? `${statusPath}?report=1` : statusPath),
    ) as EngineRank;
    return { stamp: createStamp(), status: { ...status, epochSeen }, report: withReport ? report : null };
  }

  /** The engine's map of a version, as JSON. Rejects when the engine does not have it. */
  getMap(version: number): Promise<string> {
    return this.#get(`${this.#options.mapPath}?version=${version}`);
  }

  async #get(path: string): Promise<string> {
    const answer = await this.#options.client.send({ method: "GET", path, timeoutMs: engineTimeoutMs });
    if (answer.status !== 200) {
      throw new Error(`engine responded to ${path} with status ${answer.status}`);
    }
    return answer.text;
  }
}
