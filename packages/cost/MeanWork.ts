/** Share of the newest request in the mean. */
const newShare = 0.03;

/** Mean work of recent requests, in ms of a target's time. */
export class MeanWork {
  #meanMs: number | null = null;

  /** Null before the first request. */
  get meanMs(): number | null {
    return this.#meanMs;
  }

  note(workMs: number): void {
    this.#meanMs = this.#meanMs === null ? workMs : this.#meanMs + (workMs - this.#meanMs) * newShare;
  }
}
