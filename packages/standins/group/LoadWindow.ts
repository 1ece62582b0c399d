interface FinishedWindow {
  readonly mapVersion: number;
  readonly windowMs: number;
  readonly endedAtMs: number;
  /** Tokens of the whole group, by layer and expert. */
  readonly tokens: readonly Float64Array[];
  /** Mean compute time per step of each rank. */
  readonly rankStepMs: Float64Array;
  /** Total step time divided by the mean compute time of the ranks; 1 is balanced. */
  readonly skew: number;
}

interface WindowStep {
  readonly version: number;
  readonly stepMs: number;
  readonly rankMs: Float64Array;
}

/**
 * Aggregates the steps of a group into windows; a window covers one map version only. The caller passes the
 * current time.
 */
export class LoadWindow {
  readonly #windowMs: number;
  #finished: FinishedWindow | null = null;
  #version = -1;
  #startedAtMs = 0;
  #stepCount = 0;
  #stepMs = 0;
  #tokens: Float64Array[] = [];
  #rankMs = new Float64Array(0);

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  get finished(): FinishedWindow | null {
    return this.#finished;
  }

  add(step: WindowStep, tokens: readonly Float64Array[], nowMs: number): void {
    if (step.version !== this.#version) {
      this.#reset(step.version, nowMs);
    }
    this.#stepCount += 1;
    this.#stepMs += step.stepMs;
    this.#tokens = tokens.map((layer, index) =>
      layer.map((count, expert) => count + (this.#tokens[index]?.[expert] ?? 0)),
    );
    this.#rankMs = step.rankMs.map((time, rank) => time + (this.#rankMs[rank] ?? 0));
    if (nowMs - this.#startedAtMs >= this.#windowMs) {
      this.#finish(nowMs);
    }
  }

  #reset(version: number, nowMs: number): void {
    this.#version = version;
    this.#startedAtMs = nowMs;
    this.#stepCount = 0;
    this.#stepMs = 0;
    this.#tokens = [];
    this.#rankMs = new Float64Array(0);
  }

  #finish(nowMs: number): void {
    const meanMs = this.#rankMs.reduce((sum, time) => sum + time, 0) / this.#rankMs.length;
    this.#finished = {
      mapVersion: this.#version,
      windowMs: nowMs - this.#startedAtMs,
      endedAtMs: nowMs,
      tokens: this.#tokens,
      rankStepMs: this.#rankMs.map((time) => time / this.#stepCount),
      skew: meanMs === 0 ? 1 : this.#stepMs / meanMs,
    };
    this.#reset(this.#version, nowMs);
  }
}
