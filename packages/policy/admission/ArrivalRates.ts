interface Arrivals {
  /** Arrivals, each weighted by its age. */
  count: number;
  updatedAtMs: number;
}

/** Time in which the weight of an arrival falls to a third. */
const windowMs = 2000;

/** Recent rate of arrivals by priority. Takes the current time as a parameter. */
export class ArrivalRates {
  readonly #arrivals = new Map<number, Arrivals>();

  note(priority: number, nowMs: number): void {
    this.#arrivals.set(priority, { count: this.#getCount(priority, nowMs) + 1, updatedAtMs: nowMs });
  }

  /** Arrivals per ms of all priorities that are more urgent. */
  getMoreUrgent(priority: number, nowMs: number): number {
    const urgent = [...this.#arrivals.keys()].filter((item) => item < priority);
    return urgent.reduce((sum, item) => sum + this.#getCount(item, nowMs), 0) / windowMs;
  }

  #getCount(priority: number, nowMs: number): number {
    const { count, updatedAtMs } = this.#arrivals.get(priority) ?? { count: 0, updatedAtMs: nowMs };
    return count * Math.exp((updatedAtMs - nowMs) / windowMs);
  }
}
