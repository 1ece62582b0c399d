import type { RankStatus } from "@clementinemux/experts/activation/RankStatus";
import type { TargetClient } from "../TargetClient";
import type { RankSnapshot } from "./RankSnapshot";
import type { RankLoadWindow } from "./RankLoadWindow";

interface RankEngineClientOptions {
  readonly client: TargetClient;
  readonly statusPath: string;
  readonly mapPath: string;
  readonly createStamp: () => string;
  /** Highest epoch among the orders that this agent has admitted. */
  readonly getEpochSeen: () => number;
}

interface EngineResponse {
  readonly status: RankStatus;
  readonly report: RankLoadWindow | null;
}

const engineTimeoutMs = 1000;

/** Reads the rank's status and expert maps from the engine. Orders are sent by `OrderQueue`. */
export class RankEngineClient {
  readonly #options: RankEngineClientOptions;

  constructor(options: RankEngineClientOptions) {
    this.#options = options;
  }

  /** Rejects when the engine returns no status. */
  async fetchSnapshot(withReport: boolean): Promise<RankSnapshot> {
    const { statusPath, createStamp, getEpochSeen } = this.#options;
    // Read before the request to the engine: an order of an older epoch may reach the engine until then.
    const epochSeen = getEpochSeen();
    const { status, report } = JSON.parse(
      await this.#get(withReport ? `${statusPath}?report=1` : statusPath),
    ) as EngineResponse;
    return { stamp: createStamp(), status: { ...status, epochSeen }, report: withReport ? report : null };
  }

  /** The engine's map of a version, as JSON. Rejects when the engine does not have it. */
  fetchMap(version: number): Promise<string> {
    return this.#get(`${this.#options.mapPath}?version=${version}`);
  }

  async #get(path: string): Promise<string> {
    const response = await this.#options.client.send({ method: "GET", path, timeoutMs: engineTimeoutMs });
    if (response.status !== 200) {
      throw new Error(`engine responded to ${path} with status ${response.status}`);
    }
    return response.text;
  }
}
