import type { RankReport } from "@clementinemux/experts/loads/RankReport";

/** Load window of an engine. Its age replaces the time of the end, since the clocks differ. */
export interface RankWindow extends Omit<RankReport, "rank" | "incarnation" | "measuredAtMs"> {
  readonly ageMs: number;
}
