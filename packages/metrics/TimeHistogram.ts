/** Upper bounds of the buckets. They cover the usual durations of requests. */
const bucketBoundsMs: readonly number[] = [
  1, 2, 5, 10, 20, 50, 80, 120, 200, 350, 500, 1000, 2000, 5000, 10_000,
];
const msPerS = 1000;

/** Histogram of durations. All processes have the same buckets, so that histograms can be summed. */
export class TimeHistogram {
  readonly name: string;
  readonly #counts = new Float64Array(bucketBoundsMs.length + 1);
  #sumMs = 0;

  /** The name ends in `_seconds`, the unit of the rendered values. */
  constructor(name: string) {
    this.name = name;
  }

  observeMs(durationMs: number): void {
    const at = bucketBoundsMs.findIndex((boundMs) => durationMs <= boundMs);
    const index = at < 0 ? bucketBoundsMs.length : at;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#sumMs += durationMs;
  }

  /** Renders the histogram in Prometheus text format. */
  render(): string {
    let total = 0;
    const lines = [...bucketBoundsMs, Infinity].map((boundMs, index) => {
      total += this.#counts[index] ?? 0;
      const bound = boundMs === Infinity ? "+Inf" : String(boundMs / msPerS);
      return `${this.name}_bucket{le="${bound}"} ${total}`;
    });
    const totals = [`${this.name}_sum ${this.#sumMs / msPerS}`, `${this.name}_count ${total}`];
    return [`# TYPE ${this.name} histogram`, ...lines, ...totals, ""].join("\n");
  }
}
