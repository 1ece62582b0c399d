import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";

/** Order of a lead, passed on by the process beside the rank. */
export interface OrderRequest {
  /** Fencing number of the order, which tells the term of the lead. */
  readonly fence: number;
  readonly order: HoldOrder;
}
