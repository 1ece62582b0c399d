// Trends are damped because the popularity of an expert returns to its former level within hours.
const trendDamping = 0.5;

/**
 * Exponentially smoothed load share of each expert of one layer, with a damped trend. The shares sum to 1.
 */
export class ExpertSeries {
  readonly level: Float64Array;
  readonly #trendPerMs: Float64Array;
  #weight = 0;

  constructor(expertCount: number) {
    this.level = new Float64Array(expertCount).fill(1 / expertCount);
    this.#trendPerMs = new Float64Array(expertCount);
  }

  /** Adds shares observed `elapsedMs` after the previous ones. */
  add(shares: Float64Array, elapsedMs: number, smoothingMs: number, trendMs: number): void {
    // The first observations are weighted by their count, so that the initial value has no influence.
    const decay = Math.exp(-elapsedMs / smoothingMs);
    this.#weight = this.#weight * decay + 1;
    const gain = 1 / this.#weight;
    const trendGain = this.#weight < 2 ? 0 : 1 - Math.exp(-elapsedMs / trendMs);
    for (const [expert, share] of shares.entries()) {
      const before = this.level[expert] ?? 0;
      const expected = Math.max(0, before + (this.#trendPerMs[expert] ?? 0) * elapsedMs);
      const after = expected + gain * (share - expected);
      this.level[expert] = after;
      const slope = elapsedMs > 0 ? (after - before) / elapsedMs : 0;
      const trend = this.#trendPerMs[expert] ?? 0;
      this.#trendPerMs[expert] = trend + trendGain * (slope - trend);
    }
  }

  /** Forecasts the shares `leadMs` after the last observation. */
  forecast(leadMs: number): Float64Array {
    const shares = this.level.map((level, expert) =>
      Math.max(0, level + (this.#trendPerMs[expert] ?? 0) * leadMs * trendDamping),
    );
    const total = shares.reduce((sum, share) => sum + share, 0);
    return total > 0 ? shares.map((share) => share / total) : shares;
  }
}
