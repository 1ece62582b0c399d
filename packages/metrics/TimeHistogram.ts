/** Upper bounds of the buckets, in ms; the usual times of a request lie between. */
const boundsMs: readonly number[] = [1, 2, 5, 10, 20, 50, 80, 120, 200, 350, 500, 1000, 2000, 5000, 10_000];
const msPerS = 1000;

/** Times in fixed buckets, which can be added up over processes. */
export class TimeHistogram {
  readonly name: string;
  readonly #counts = new Float64Array(boundsMs.length + 1);
  #sumMs = 0;

  /** The name ends in `_seconds`, the unit in which it is rendered. */
  constructor(name: string) {
    this.name = name;
  }

  observeMs(durationMs: number): void {
    const at = boundsMs.findIndex((boundMs) => durationMs <= boundMs);
    const index = at < 0 ? boundsMs.length : at;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#sumMs += durationMs;
  }

  /** Prometheus text. */
  render(): string {
    let total = 0;
    const lines = [...boundsMs, Infinity].map((boundMs, index) => {
      total += this.#counts[index] ?? 0;
      const bound = boundMs === Infinity ? "+Inf" : String(boundMs / msPerS);
      return `${this.name}_bucket{le="${bound}"} ${total}`;
    });
    const sums = [`${this.name}_sum ${this.#sumMs / msPerS}`, `${this.name}_count ${total}`];
    return [`# TYPE ${this.name} histogram`, ...lines, ...sums, ""].join("\n");
  }
}
