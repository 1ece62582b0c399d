/** Weight of the newest time in the mean; looks are about as long apart as passes take, so that single times are rough. */
const newestWeight = 0.25;

/** Time of a pass, from the numbers of passes seen at each look. Has no clock. */
export class PassTimer {
  #step = 0;
  #movedAtMs: number | null = null;
  #passMs = 0;
  #meanMs = 0;

  note(step: number, nowMs: number): void {
    if (this.#movedAtMs !== null && step > this.#step) {
      this.#passMs = (nowMs - this.#movedAtMs) / (step - this.#step);
      this.#meanMs += (this.#passMs - this.#meanMs) * (this.#meanMs === 0 ? 1 : newestWeight);
    }
    if (this.#movedAtMs === null || step !== this.#step) {
      this.#step = step;
      this.#movedAtMs = nowMs;
    }
  }

  /** Mean time of the last passes; 0 while nothing is known. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Time of the last pass, or of the present one when that already takes longer; 0 while nothing is known. */
  getPassMs(nowMs: number): number {
    return this.#movedAtMs === null ? 0 : Math.max(this.#passMs, nowMs - this.#movedAtMs);
  }
}
