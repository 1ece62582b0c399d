/** Weight of the newest time in the mean. Polls are about one pass apart, so a single time is imprecise. */
const newestWeight = 0.25;

/**
 * Measures the time of a pass from the step numbers seen at each poll. Pure: the caller passes the current
 * time.
 */
export class PassTimer {
  #step = 0;
  #stepChangedAtMs: number | null = null;
  #passMs = 0;
  #meanMs = 0;

  recordStep(step: number, nowMs: number): void {
    if (this.#stepChangedAtMs !== null && step > this.#step) {
      this.#passMs = (nowMs - this.#stepChangedAtMs) / (step - this.#step);
      this.#meanMs += (this.#passMs - this.#meanMs) * (this.#meanMs === 0 ? 1 : newestWeight);
    }
    if (this.#stepChangedAtMs === null || step !== this.#step) {
      this.#step = step;
      this.#stepChangedAtMs = nowMs;
    }
  }

  /** Mean time of the recent passes; 0 while unknown. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Time of the last pass, or of the current one if that already takes longer; 0 while unknown. */
  getPassMs(nowMs: number): number {
    return this.#stepChangedAtMs === null ? 0 : Math.max(this.#passMs, nowMs - this.#stepChangedAtMs);
  }
}
