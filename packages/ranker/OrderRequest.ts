import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";

/** Order of a leader, which the ranker forwards to its rank. */
export interface OrderRequest {
  /** Fencing number of the order; it contains the term of the leader. */
  readonly fence: number;
  readonly order: HoldOrder;
}
