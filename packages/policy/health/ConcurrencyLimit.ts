const minLimit = 1;
const startLimit = 8;
const decreaseFactor = 0.8;
/** One congestion event shows up in many answers; it must lower the limit once. */
const decreaseIntervalMs = 500;
/** First token later than this many times the prediction counts as queueing at the target. */
const congestedRatio = 3;

/**
 * Adaptive limit on this entry's own requests at one target: additive increase while the limit is in use and
 * first tokens arrive as predicted, multiplicative decrease on an overload answer or late first tokens.
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
