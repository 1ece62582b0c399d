import type { GroupShape } from "../GroupShape";
import type { RankReport } from "./RankReport";
import { ReportFault } from "./ReportFault";

/** Returns the first fault in the content of a report, or null. */
export function findReportFault(
  shape: GroupShape,
  mapVersion: number,
  report: RankReport,
): ReportFault | null {
  if (!Number.isInteger(report.rank) || report.rank < 0 || report.rank >= shape.rankCount) {
    return ReportFault.RankUnknown;
  }
  if (report.mapVersion !== mapVersion) {
    return ReportFault.MapVersion;
  }
  if (report.tokens.length !== shape.layerCount) {
    return ReportFault.Length;
  }
  const numbers = [report.measuredAtMs, report.windowMs, report.stepMs];
  if (!numbers.every(Number.isFinite)) {
    return ReportFault.NotFinite;
  }
  if (report.windowMs <= 0 || report.stepMs < 0) {
    return ReportFault.Negative;
  }
  for (const layer of report.tokens) {
    if (layer.length !== shape.expertCount) {
      return ReportFault.Length;
    }
    for (const count of layer) {
      if (!Number.isFinite(count)) {
        return ReportFault.NotFinite;
      }
      if (count < 0) {
        return ReportFault.Negative;
      }
    }
  }
  return null;
}
