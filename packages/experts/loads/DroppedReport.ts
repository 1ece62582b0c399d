import type { ReportFault } from "./ReportFault";

/** Names a report that was dropped, or that did not arrive. */
export interface DroppedReport {
  readonly fault: ReportFault;
  readonly rank: number;
  readonly atMs: number;
}
