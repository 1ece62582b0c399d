import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";

interface RankOfEpoch {
  readonly rank: number;
  readonly epoch: number;
}

interface UnacknowledgedOrder {
  /** Null for unknown orders that another process may have sent. */
  readonly order: HoldOrder | null;
  readonly atMs: number;
}

/**
 * An order without a response is no longer carried out after this time: ranks carry out an order within 12 s.
 */
const orderLifetimeMs = 13_000;

/**
 * Tracks which orders of one leader the ranks of a group have accepted, and which got no response. A rank
 * that has accepted an order rejects orders with a lower fencing token: those of earlier leaders and earlier
 * ones of this leader. Rejecting an order does not change the token of the rank.
 */
export class RankAcknowledgements {
  readonly #fenced = new Set<number>();
  readonly #unacknowledged = new Map<number, UnacknowledgedOrder[]>();
  #epoch = 0;

  /** Records whether the rank has accepted the order; null when there was no response. */
  recordResponse(order: HoldOrder, isAccepted: boolean | null, nowMs: number): void {
    if (!this.#updateEpoch(order)) {
      return;
    }
    if (isAccepted === true) {
      this.#fenced.add(order.rank);
      this.#unacknowledged.delete(order.rank);
    } else if (isAccepted === null && order.kind !== HoldOrderKind.Prepare) {
      // A late order to prepare is harmless: its version is rejected once a higher one was prepared.
      this.#add(order.rank, { order, atMs: nowMs });
    }
  }

  /** Records that another process may have sent the ranks orders of this leader. */
  recordUnknown(ranks: readonly RankOfEpoch[], nowMs: number): void {
    for (const rank of ranks) {
      if (this.#updateEpoch(rank)) {
        this.#add(rank.rank, { order: null, atMs: nowMs });
      }
    }
  }

  isFenced({ rank, epoch }: RankOfEpoch): boolean {
    return epoch === this.#epoch && this.#fenced.has(rank);
  }

  /** Orders without a response that the rank may still carry out; null stands for unknown orders. */
  listUnacknowledged({ rank, epoch }: RankOfEpoch, nowMs: number): (HoldOrder | null)[] {
    const orders = epoch === this.#epoch ? (this.#unacknowledged.get(rank) ?? []) : [];
    return orders.filter(({ atMs }) => nowMs - atMs < orderLifetimeMs).map(({ order }) => order);
  }

  get hasUnacknowledged(): boolean {
    return this.#unacknowledged.size > 0;
  }

  #add(rank: number, unanswered: UnacknowledgedOrder): void {
    const earlier = this.#unacknowledged.get(rank) ?? [];
    const recent = earlier.filter(({ atMs }) => unanswered.atMs - atMs < orderLifetimeMs);
    this.#unacknowledged.set(rank, [...recent, unanswered]);
  }

  /** Whether the rank has the newest epoch. After a recovery, a group rejects orders of earlier epochs. */
  #updateEpoch({ epoch }: RankOfEpoch): boolean {
    if (epoch > this.#epoch) {
      this.#epoch = epoch;
      this.#fenced.clear();
      this.#unacknowledged.clear();
    }
    return epoch === this.#epoch;
  }
}
