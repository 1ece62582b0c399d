interface RankCounts {
  readonly epoch: number;
  readonly counts: readonly number[];
}

/**
 * The weight of a past choice decays to 1/e in this time. The popularity of experts changes every few
 * seconds.
 */
const decayMs = 450;

/**
 * Exponentially decaying choice counts by layer set and expert, from the cumulative counts of the ranks.
 * Pure: the caller passes the current time.
 */
export class PopularityMeter {
  readonly #sets: number;
  readonly #experts: number;
  readonly #weightedCounts: Float64Array;
  /** Counts of the ranks that responded to the last poll. */
  #latest: ReadonlyMap<number, RankCounts> = new Map();
  #updatedAtMs: number | null = null;

  constructor(sets: number, experts: number) {
    this.#sets = sets;
    this.#experts = experts;
    this.#weightedCounts = new Float64Array(sets * experts);
  }

  /**
   * Adds the counts of all ranks that responded at about the same time. The increase of a rank that was
   * missing in the poll before is ignored: it covers the whole gap, and the demand of that time may have
   * changed.
   */
  add(ranks: readonly { rank: number; epoch: number; counts: readonly number[] }[], nowMs: number): void {
    const elapsedMs = this.#updatedAtMs === null ? 0 : nowMs - this.#updatedAtMs;
    const decay = Math.exp(-elapsedMs / decayMs);
    this.#updatedAtMs = nowMs;
    this.#weightedCounts.forEach((level, index) => {
      this.#weightedCounts[index] = level * decay;
    });
    const latest = this.#latest;
    this.#latest = new Map(ranks.map(({ rank, epoch, counts }) => [rank, { epoch, counts }]));
    for (const { rank, epoch, counts } of ranks) {
      const previous = latest.get(rank);
      const isContinued = previous?.epoch === epoch && (previous.counts[0] ?? 0) <= (counts[0] ?? 0);
      if (previous !== undefined && isContinued) {
        counts.forEach((count, index) => {
          const added = Math.max(0, count - (previous.counts[index] ?? 0));
          this.#weightedCounts[index] = (this.#weightedCounts[index] ?? 0) + added;
        });
      }
    }
  }

  /** Resets all weighted counts. The cumulative counts seen last remain the base of the next increase. */
  reset(): void {
    this.#weightedCounts.fill(0);
  }

  /** Sum of the weighted choices: the sample size. */
  get total(): number {
    return this.#weightedCounts.reduce((sum, level) => sum + level, 0);
  }

  getLoads(): Float64Array[] {
    return Array.from({ length: this.#sets }, (_, set) =>
      this.#weightedCounts.slice(set * this.#experts, (set + 1) * this.#experts),
    );
  }
}
