const minLimit = 1;
const startLimit = 8;
const decreaseFactor = 0.8;
/** One congestion event shows in many responses, but must lower the limit only once. */
const decreaseIntervalMs = 500;
/** A first token later than this multiple of the prediction indicates queueing at the target. */
const congestedRatio = 3;

/**
 * Adaptive limit (AIMD) on this entry's own requests in flight at one target: additive increase while the
 * limit is in use and first tokens arrive as predicted, multiplicative decrease on an overload response or a
 * late first token.
 */
export class ConcurrencyLimit {
  #limit = startLimit;
  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  get limit(): number {
    return this.#limit;
  }

  onFirstToken(ratioToPrediction: number, inFlightCount: number, maxLimit: number, nowMs: number): void {
    if (ratioToPrediction > congestedRatio) {
      this.onOverload(nowMs);
    } else if (inFlightCount >= this.#limit * 0.8) {
      this.#limit = Math.min(this.#limit + 1 / this.#limit, Math.max(maxLimit, minLimit));
    }
  }

  onOverload(nowMs: number): void {
    if (nowMs - this.#decreasedAtMs < decreaseIntervalMs) {
      return;
    }
    this.#decreasedAtMs = nowMs;
    this.#limit = Math.max(minLimit, this.#limit * decreaseFactor);
  }
}
