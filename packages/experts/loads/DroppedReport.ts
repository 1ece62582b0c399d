import type { ReportFault } from "./ReportFault";

/** A report that was dropped or did not arrive. */
export interface DroppedReport {
  readonly fault: ReportFault;
  readonly rank: number;
  readonly atMs: number;
}
