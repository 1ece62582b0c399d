/**
 * Token bucket. Pure: the caller passes the current time. An amount may be taken when the level covers it or
 * is full; the level may become negative, and later amounts then wait until it has been refilled. At rate 0
 * nothing is permitted.
 */
export class TokenBucket {
  #ratePerS: number;
  #capacity: number;
  #level: number;
  #updatedAtMs: number;

  /** The bucket is empty at `startedAtMs`; an earlier start gives it the tokens accrued since then. */
  constructor(ratePerS: number, capacity: number, startedAtMs: number) {
    this.#ratePerS = ratePerS;
    this.#capacity = capacity;
    this.#level = 0;
    this.#updatedAtMs = startedAtMs;
  }

  /**
   * Changes the rate from now on. A level above the new capacity is cut, so that a smaller limit applies at
   * once.
   */
  setRate(ratePerS: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#ratePerS = ratePerS;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  canTake(amount: number, nowMs: number): boolean {
    this.#refill(nowMs);
    return this.#ratePerS > 0 && this.#level >= Math.min(amount, this.#capacity);
  }

  take(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level = Math.min(this.#level - amount, this.#capacity);
  }

  /** Time until `canTake(amount)` is true; infinite at rate 0. */
  getWaitMs(amount: number, nowMs: number): number {
    this.#refill(nowMs);
    if (this.#ratePerS <= 0) {
      return Number.POSITIVE_INFINITY;
    }
    const missing = Math.min(amount, this.#capacity) - this.#level;
    return missing <= 0 ? 0 : (missing / this.#ratePerS) * 1000;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#level = Math.min(this.#capacity, this.#level + (this.#ratePerS * elapsedMs) / 1000);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
  }
}
