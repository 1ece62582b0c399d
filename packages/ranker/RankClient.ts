import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankExperts } from "./RankExperts";
import type { RankInspection } from "./RankInspection";
import type { RankMembership } from "./RankMembership";

/** Speaks to one rank. */
export interface RankClient {
  /** Resolves with null when the rank belongs to no group or does not answer; without a digest of what is prepared. */
  inspect(withExperts: boolean): Promise<RankInspection | null>;
  /** Experts that the rank has prepared; null for none or no answer. */
  readPrepared(): Promise<RankExperts | null>;
  /** Experts that the rank holds under the map in force; null for no answer. */
  readInForce(): Promise<RankExperts | null>;
  /** Place of the rank in its group; null for none or no answer. */
  readMembership(): Promise<RankMembership | null>;
  /** State alone, which is cheaper from another machine. */
  inspectState(): Promise<HeldRank | null>;
  /** Resolves with whether the rank has confirmed the order; null when there was no answer. */
  order(order: HoldOrder, fence: number): Promise<boolean | null>;
}
