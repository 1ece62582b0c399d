import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import type { InspectionPart } from "./InspectionPart";
import type { RankInspection } from "./RankInspection";
import type { RankEndpoints } from "./RankEndpoints";

/** Calls to one rank. All calls resolve with null when there was no response. */
export interface RankChannel {
  readonly endpoints: RankEndpoints;
  /** State of the rank and the requested part, read through its ranker. */
  inspect(term: number, part: InspectionPart): Promise<RankInspection | null>;
  /** State as reported by the rank itself, for groups that are stalled. */
  inspectDirectly(): Promise<RankHoldState | null>;
  /**
   * Experts under the active map by layer set, as reported by the rank itself; null if the active map has
   * another version.
   */
  readActiveExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null>;
  /** Digest of the experts that the rank has prepared for a version, as reported by the rank itself. */
  readPreparedDigestDirectly(version: number): Promise<number | null>;
  /**
   * Resolves with whether the rank has accepted the order. Raises the fence before it tries the second path.
   */
  order(fence: RankFencingToken, order: HoldOrder): Promise<boolean | null>;
}
