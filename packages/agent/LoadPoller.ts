import type { Clock } from "@clementinemux/common/Clock";
import type { AgentLoad } from "./AgentLoad";
import type { TargetClient } from "./TargetClient";
import { parseEngineLoad } from "./parseEngineLoad";

interface LoadMeasurement {
  readonly load: Omit<AgentLoad, "ageMs">;
  /** Time of the measurement, from the agent's monotonic clock. */
  readonly measuredAtMs: number;
}

// A single timeout is not a failure: an engine may be busy with a long step.
const maxFailedPolls = 3;
const pollTimeoutMs = 500;

/** Polls the load of the target and detects an unresponsive target. */
export class LoadPoller {
  readonly #client: TargetClient;
  readonly #path: string;
  readonly #clock: Clock;
  #latest: LoadMeasurement | null = null;
  #failedPollCount = 0;
  #isPolling = false;

  constructor(client: TargetClient, path: string, clock: Clock) {
    this.#client = client;
    this.#path = path;
    this.#clock = clock;
  }

  /** Whether several consecutive polls have failed. */
  get hasFailed(): boolean {
    return this.#failedPollCount >= maxFailedPolls;
  }

  async poll(): Promise<void> {
    if (this.#isPolling) {
      return;
    }
    this.#isPolling = true;
    const sentAtMs = this.#clock.monotonicMs();
    try {
      const { status, text } = await this.#client.send({
        method: "GET",
        path: this.#path,
        timeoutMs: pollTimeoutMs,
      });
      this.#failedPollCount = 0;
      const parsed = status === 200 ? parseEngineLoad(text) : null;
      if (parsed !== null) {
        const { lagMs, ...load } = parsed;
        this.#latest = { load, measuredAtMs: sentAtMs - lagMs };
      }
    } catch {
      this.#failedPollCount += 1;
    } finally {
      this.#isPolling = false;
    }
  }

  getLoad(): AgentLoad | null {
    if (this.#latest === null) {
      return null;
    }
    const { load, measuredAtMs } = this.#latest;
    return { ...load, ageMs: Math.round(this.#clock.monotonicMs() - measuredAtMs) };
  }
}
