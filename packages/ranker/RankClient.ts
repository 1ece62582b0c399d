import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankInspection } from "./RankInspection";

/** Speaks to one rank. */
export interface RankClient {
  /** Resolves with null when the rank belongs to no group or does not answer. */
  inspect(withExperts: boolean): Promise<RankInspection | null>;
  /** State alone, which is cheaper from another machine. */
  inspectState(): Promise<HeldRank | null>;
  /** Resolves with whether the rank has confirmed the order; null when there was no answer. */
  order(order: HoldOrder, fence: number): Promise<boolean | null>;
}
