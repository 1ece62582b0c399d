import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";

/** What a rank reports of itself, read at one moment. */
export interface RankInspection {
  readonly group: string;
  /** Ranks of the group. */
  readonly size: number;
  readonly state: HeldRank;
  /** Time for the same work, 1 for a healthy rank. */
  readonly pace: number;
  /** Choices of each expert since the rank started, layer set after layer set. */
  readonly counts: readonly number[];
  /** Experts that the rank holds by layer set; null when they were not asked for. */
  readonly experts: readonly (readonly number[])[] | null;
  /** Of the experts that the rank has prepared; null for none, or where they are not known. */
  readonly preparedDigest: number | null;
}
