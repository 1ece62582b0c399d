import type { EncodedCounts } from "./EncodedCounts";
import type { RankInspection } from "./RankInspection";

/** Inspection of a rank as sent to a leader. */
export interface EncodedInspection extends Omit<RankInspection, "counts"> {
  readonly counts: EncodedCounts | null;
}
