/** Time of a pass, from the numbers of passes seen at each look. Has no clock. */
export class PassTimer {
  #step = 0;
  #movedAtMs: number | null = null;
  #passMs = 0;

  note(step: number, nowMs: number): void {
    if (this.#movedAtMs !== null && step > this.#step) {
      this.#passMs = (nowMs - this.#movedAtMs) / (step - this.#step);
    }
    if (this.#movedAtMs === null || step !== this.#step) {
      this.#step = step;
      this.#movedAtMs = nowMs;
    }
  }

  /** Time of the last pass, or of the present one when that already takes longer; 0 while nothing is known. */
  getPassMs(nowMs: number): number {
    return this.#movedAtMs === null ? 0 : Math.max(this.#passMs, nowMs - this.#movedAtMs);
  }
}
