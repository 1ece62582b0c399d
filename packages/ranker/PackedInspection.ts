import type { PackedCounts } from "./PackedCounts";
import type { RankInspection } from "./RankInspection";

/** Inspection of a rank as it is sent to a lead. */
export interface PackedInspection extends Omit<RankInspection, "counts"> {
  readonly counts: PackedCounts | null;
}
