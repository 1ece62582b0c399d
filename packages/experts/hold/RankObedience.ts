import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";

interface RankOfEpoch {
  readonly rank: number;
  readonly epoch: number;
}

/**
 * Which ranks of a group obey one lead alone. A rank that has accepted an order of the lead refuses those of earlier
 * leads; one that refuses an order keeps its fence. An order without an answer may be carried out at any moment, until the
 * rank accepts a later one.
 */
export class RankObedience {
  readonly #fenced = new Set<number>();
  readonly #unanswered = new Set<number>();
  #epoch = 0;

  /** Notes whether the rank has accepted the order; null when there was no answer. */
  note(order: HoldOrder, answer: boolean | null): void {
    if (!this.#enter(order)) {
      return;
    }
    if (answer === true) {
      this.#fenced.add(order.rank);
      this.#unanswered.delete(order.rank);
    } else if (answer === null && order.kind !== HoldOrderKind.Prepare) {
      // A late order to prepare changes nothing: its version is refused once a higher one was prepared.
      this.#unanswered.add(order.rank);
    }
  }

  /** Notes that another process may have given the ranks orders of this lead. */
  doubt(ranks: readonly RankOfEpoch[]): void {
    for (const rank of ranks) {
      if (this.#enter(rank)) {
        this.#unanswered.add(rank.rank);
      }
    }
  }

  isFenced({ rank, epoch }: RankOfEpoch): boolean {
    return epoch === this.#epoch && this.#fenced.has(rank);
  }

  /** Whether an order of this lead may still be carried out there. */
  isUnanswered({ rank, epoch }: RankOfEpoch): boolean {
    return epoch === this.#epoch && this.#unanswered.has(rank);
  }

  get hasUnanswered(): boolean {
    return this.#unanswered.size > 0;
  }

  /** Whether the rank is of the newest epoch. A group that forms again refuses the orders of before. */
  #enter({ epoch }: RankOfEpoch): boolean {
    if (epoch > this.#epoch) {
      this.#epoch = epoch;
      this.#fenced.clear();
      this.#unanswered.clear();
    }
    return epoch === this.#epoch;
  }
}
