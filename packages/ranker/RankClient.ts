import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankExperts } from "./RankExperts";
import type { RankInspection } from "./RankInspection";
import type { RankMembership } from "./RankMembership";

/** Client of one rank. */
export interface RankClient {
  /**
   * Resolves with null when the rank belongs to no group or does not respond. The inspection has no digest of
   * the prepared experts.
   */
  inspect(withExperts: boolean): Promise<RankInspection | null>;
  /** Experts that the rank has prepared; null for none or no response. */
  readPreparedExperts(): Promise<RankExperts | null>;
  /** Experts that the rank holds under the active map; null for no response. */
  readActiveExperts(): Promise<RankExperts | null>;
  /** Group of the rank and its number there; null for none or no response. */
  readMembership(): Promise<RankMembership | null>;
  /** State only, which is cheaper to read from another instance. */
  inspectState(): Promise<RankHoldState | null>;
  /** Resolves with whether the rank has confirmed the order; null when there was no response. */
  order(order: HoldOrder, fence: number): Promise<boolean | null>;
}
