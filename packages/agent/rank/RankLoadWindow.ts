import type { RankReport } from "@clementinemux/experts/loads/RankReport";

/** Load window of an engine. It has an age instead of the time of measurement, since the clocks differ. */
export interface RankLoadWindow extends Omit<RankReport, "rank" | "incarnation" | "measuredAtMs"> {
  readonly ageMs: number;
}
