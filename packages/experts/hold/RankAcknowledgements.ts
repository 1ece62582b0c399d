import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";

interface RankOfEpoch {
  readonly rank: number;
  readonly epoch: number;
}

interface UnansweredOrder {
  /** Null for the orders of another process, which are not known. */
  readonly order: HoldOrder | null;
  readonly atMs: number;
}

/** Time after which an order without an answer is carried out no more: ranks do so within 12 s. */
const latestMs = 13_000;

/**
 * Which orders of one lead the ranks of a group have accepted, and which are without an answer. A rank that has accepted an
 * order refuses those with a lower fence: of earlier leads, and of this one before it. One that refuses an order keeps its
 * fence.
 */
export class RankAcknowledgements {
  readonly #fenced = new Set<number>();
  readonly #unanswered = new Map<number, UnansweredOrder[]>();
  #epoch = 0;

  /** Notes whether the rank has accepted the order; null when there was no answer. */
  note(order: HoldOrder, answer: boolean | null, nowMs: number): void {
    if (!this.#enter(order)) {
      return;
    }
    if (answer === true) {
      this.#fenced.add(order.rank);
      this.#unanswered.delete(order.rank);
    } else if (answer === null && order.kind !== HoldOrderKind.Prepare) {
      // A late order to prepare changes nothing: its version is refused once a higher one was prepared.
      this.#add(order.rank, { order, atMs: nowMs });
    }
  }

  /** Notes that another process may have given the ranks orders of this lead. */
  noteUnknown(ranks: readonly RankOfEpoch[], nowMs: number): void {
    for (const rank of ranks) {
      if (this.#enter(rank)) {
        this.#add(rank.rank, { order: null, atMs: nowMs });
      }
    }
  }

  isFenced({ rank, epoch }: RankOfEpoch): boolean {
    return epoch === this.#epoch && this.#fenced.has(rank);
  }

  /** Orders that the rank may still carry out; null stands for unknown ones. */
  listUnanswered({ rank, epoch }: RankOfEpoch, nowMs: number): (HoldOrder | null)[] {
    const orders = epoch === this.#epoch ? (this.#unanswered.get(rank) ?? []) : [];
    return orders.filter(({ atMs }) => nowMs - atMs < latestMs).map(({ order }) => order);
  }

  get hasUnanswered(): boolean {
    return this.#unanswered.size > 0;
  }

  #add(rank: number, unanswered: UnansweredOrder): void {
    const known = this.#unanswered.get(rank) ?? [];
    const recent = known.filter(({ atMs }) => unanswered.atMs - atMs < latestMs);
    this.#unanswered.set(rank, [...recent, unanswered]);
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
