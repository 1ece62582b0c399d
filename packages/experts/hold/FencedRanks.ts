interface RankOfEpoch {
  readonly rank: number;
  readonly epoch: number;
}

/**
 * Ranks that have accepted an order of one lead, so that they refuse orders of earlier leads. A rank that refuses an order
 * keeps its fence.
 */
export class FencedRanks {
  readonly #ranks = new Set<number>();
  #epoch = 0;

  /** A group that forms again has forgotten its fences. */
  add({ rank, epoch }: RankOfEpoch): void {
    if (epoch > this.#epoch) {
      this.#epoch = epoch;
      this.#ranks.clear();
    }
    if (epoch === this.#epoch) {
      this.#ranks.add(rank);
    }
  }

  has({ rank, epoch }: RankOfEpoch): boolean {
    return epoch === this.#epoch && this.#ranks.has(rank);
  }
}
