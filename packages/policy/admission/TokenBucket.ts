/**
 * Rate limit on a virtual clock. The level may become negative: a charge is permitted while the level is above
 * 0 (or covers the charge, see `canTake`), and later charges wait until the debt is paid.
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
    return this.#level >= Math.min(amount, this.#capacity);
  }

  take(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level = Math.min(this.#level - amount, this.#capacity);
  }

  /** Time until `canTake(amount)` holds; infinite at rate 0. */
  getWaitMs(amount: number, nowMs: number): number {
    this.#refill(nowMs);
    const missing = Math.min(amount, this.#capacity) - this.#level;
    return missing <= 0 ? 0 : (missing / this.#ratePerS) * 1000;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#level = Math.min(this.#capacity, this.#level + (this.#ratePerS * elapsedMs) / 1000);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
  }
}
