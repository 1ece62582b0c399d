interface RankCounts {
  readonly epoch: number;
  readonly counts: readonly number[];
}

/**
 * The weight of a past choice decays to 1/e in this time. The popularity of experts changes every few
 * seconds.
 */
const memoryMs = 450;

/**
 * Exponentially decaying choice counts by layer set and expert, from the cumulative counts of the ranks.
 * Pure: the caller passes the current time.
 */
export class PopularityMeter {
  readonly #sets: number;
  readonly #experts: number;
  readonly #levels: Float64Array;
  /** Counts of the ranks that responded to the last poll. */
  #latest: ReadonlyMap<number, RankCounts> = new Map();
  #updatedAtMs: number | null = null;

  constructor(sets: number, experts: number) {
    this.#sets = sets;
    this.#experts = experts;
    this.#levels = new Float64Array(sets * experts);
  }

  /**
   * Adds the counts of all ranks that responded at about the same time. The increase of a rank that was
   * missing in the poll before is ignored: it covers the whole gap, and the demand of that time may have
   * changed.
   */
  add(ranks: readonly { rank: number; epoch: number; counts: readonly number[] }[], nowMs: number): void {
    const elapsedMs = this.#updatedAtMs === null ? 0 : nowMs - this.#updatedAtMs;
    const decay = Math.exp(-elapsedMs / memoryMs);
    this.#updatedAtMs = nowMs;
    this.#levels.forEach((level, index) => {
      this.#levels[index] = level * decay;
    });
    const latest = this.#latest;
    this.#latest = new Map(ranks.map(({ rank, epoch, counts }) => [rank, { epoch, counts }]));
    for (const { rank, epoch, counts } of ranks) {
      const before = latest.get(rank);
      const isSameLife = before?.epoch === epoch && (before.counts[0] ?? 0) <= (counts[0] ?? 0);
      if (before !== undefined && isSameLife) {
        counts.forEach((count, index) => {
          const added = Math.max(0, count - (before.counts[index] ?? 0));
          this.#levels[index] = (this.#levels[index] ?? 0) + added;
        });
      }
    }
  }

  /** Resets all weighted counts. The cumulative counts seen last remain the base of the next increase. */
  forget(): void {
    this.#levels.fill(0);
  }

  /** Sum of the weighted choices: the sample size. */
  get total(): number {
    return this.#levels.reduce((sum, level) => sum + level, 0);
  }

  getLoads(): Float64Array[] {
    return Array.from({ length: this.#sets }, (_, set) =>
      this.#levels.slice(set * this.#experts, (set + 1) * this.#experts),
    );
  }
}
