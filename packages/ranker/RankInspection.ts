import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";

/** Snapshot of what a rank reports about itself. */
export interface RankInspection {
  readonly group: string;
  /** Number of ranks in the group. */
  readonly size: number;
  readonly state: RankHoldState;
  /** Slowdown: multiple of the usual time for the same work; 1 for a healthy rank. */
  readonly pace: number;
  /** How often the router has chosen each expert since the rank started, layer set after layer set. */
  readonly counts: readonly number[];
  /** Experts that the rank holds, by layer set; null when they were not requested. */
  readonly experts: readonly (readonly number[])[] | null;
  /** Digest of the experts that the rank has prepared; null when there are none or they are not known. */
  readonly preparedDigest: number | null;
}
