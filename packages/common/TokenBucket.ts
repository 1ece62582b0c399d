/**
 * Rate limit on a virtual clock. A charge is permitted when the level covers it or is full; the level
 * may become negative, and later charges then wait until the debt is paid. At rate 0 nothing is permitted.
 */
export class TokenBucket {
  #ratePerS: number;
  #capacity: number;
  #level: number;
  #updatedAtMs: number;

  /** The level at the start is what the rate yielded since `startedAtMs`, at most the capacity. */
  constructor(ratePerS: number, capacity: number, startedAtMs: number) {
    this.#ratePerS = ratePerS;
    this.#capacity = capacity;
    this.#level = 0;
    this.#updatedAtMs = startedAtMs;
  }

  /** Changes the rate from now on; a level above the new capacity is cut, so a smaller share takes effect at once. */
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

  /** Time until `canTake(amount)` holds; infinite at rate 0. */
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
