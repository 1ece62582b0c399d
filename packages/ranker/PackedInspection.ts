import type { PackedCounts } from "./PackedCounts";
import type { RankInspection } from "./RankInspection";

/** Inspection of a rank as sent to a leader. */
export interface PackedInspection extends Omit<RankInspection, "counts"> {
  readonly counts: PackedCounts | null;
}
