import type { GroupShape } from "../GroupShape";
import type { DroppedReport } from "./DroppedReport";
import { ExpertSeries } from "./ExpertSeries";
import type { Forecast } from "./Forecast";
import type { LoadSettings } from "./LoadSettings";
import type { RankReport } from "./RankReport";
import { ReportFault } from "./ReportFault";
import { findReportFault } from "./findReportFault";

interface PastForecast {
  readonly forAtMs: number;
  readonly shares: readonly Float64Array[];
}

// Only the latest dropped reports are kept; the counters include all of them.
const maxKeptReports = 100;
const errorSmoothing = 0.2;
// Used until forecasts have been compared with observations.
const initialErrorShare = 0.1;

/**
 * Models the load of a rank group from the reports of its ranks. Reports can be late or missing: `update`
 * combines the latest report of each rank, and extrapolates to the missing ranks.
 */
export class LoadModel {
  readonly #shape: GroupShape;
  readonly #settings: LoadSettings;
  readonly #series: ExpertSeries[];
  readonly #latest = new Map<number, RankReport>();
  readonly #counts = new Map<ReportFault, number>();
  readonly #dropped: DroppedReport[] = [];
  #mapVersion: number;
  #updatedAtMs: number | null = null;
  #tokensPerS = 0;
  #errorShare = initialErrorShare;
  #pending: PastForecast[] = [];

  constructor(shape: GroupShape, mapVersion: number, settings: LoadSettings) {
    this.#shape = shape;
    this.#mapVersion = mapVersion;
    this.#settings = settings;
    this.#series = Array.from({ length: shape.layerCount }, () => new ExpertSeries(shape.expertCount));
  }

  get faultCounts(): ReadonlyMap<ReportFault, number> {
    return this.#counts;
  }

  get droppedReports(): readonly DroppedReport[] {
    return this.#dropped;
  }

  /** Compute times of the ranks with a recent report, by rank. */
  get stepMsByRank(): ReadonlyMap<number, number> {
    return new Map([...this.#latest].map(([rank, report]) => [rank, report.stepMs]));
  }

  /** Reports for an earlier map are dropped from now on; the popularity learned so far is kept. */
  setMapVersion(version: number): void {
    this.#mapVersion = version;
    this.#latest.clear();
  }

  /** Adds a report and returns null, or drops it and returns the reason. */
  addReport(report: RankReport, nowMs: number): ReportFault | null {
    const fault =
      findReportFault(this.#shape, this.#mapVersion, report) ?? this.#findOrderFault(report, nowMs);
    if (fault !== null) {
      this.#drop({ fault, rank: report.rank, atMs: nowMs });
      return fault;
    }
    this.#latest.set(report.rank, report);
    return null;
  }

  /** Combines the latest reports into one observation. Call once per report interval. */
  update(nowMs: number): void {
    const reports = this.#takeRecentReports(nowMs);
    if (reports.length === 0) {
      return;
    }
    const measuredAtMs = Math.max(...reports.map((report) => report.measuredAtMs));
    if (this.#updatedAtMs !== null && measuredAtMs <= this.#updatedAtMs) {
      return;
    }
    const observed = this.#combine(reports);
    this.#compareForecasts(measuredAtMs, observed);
    const elapsedMs = this.#updatedAtMs === null ? 0 : measuredAtMs - this.#updatedAtMs;
    for (const [layer, shares] of observed.entries()) {
      this.#series[layer]?.add(shares, elapsedMs, this.#settings.smoothingMs, this.#settings.trendMs);
    }
    this.#updatedAtMs = measuredAtMs;
  }

  /** Forecasts the load at a time. The forecast is kept and later compared with the observed load. */
  forecast(nowMs: number, forAtMs: number): Forecast {
    this.#pending.push({ forAtMs, shares: this.#forecastShares(nowMs, forAtMs) });
    return this.predict(nowMs, forAtMs);
  }

  /** Forecasts the load at a time, for display; does not affect the error estimate. */
  predict(nowMs: number, forAtMs: number): Forecast {
    const shares = this.#forecastShares(nowMs, forAtMs);
    return {
      loads: shares.map((layer) => layer.map((share) => share * this.#tokensPerS)),
      errorShare: this.#errorShare,
      coverage: this.#latest.size / this.#shape.rankCount,
    };
  }

  #forecastShares(nowMs: number, forAtMs: number): Float64Array[] {
    const leadMs = Math.max(0, forAtMs - (this.#updatedAtMs ?? nowMs));
    return this.#series.map((series) => series.forecast(leadMs));
  }

  #findOrderFault(report: RankReport, nowMs: number): ReportFault | null {
    const latest = this.#latest.get(report.rank);
    if (nowMs - report.measuredAtMs > this.#settings.maxAgeMs) {
      return ReportFault.TooOld;
    }
    if (latest !== undefined && report.incarnation < latest.incarnation) {
      return ReportFault.OldIncarnation;
    }
    const isSameIncarnation = latest?.incarnation === report.incarnation;
    return isSameIncarnation && report.measuredAtMs <= latest.measuredAtMs ? ReportFault.OutOfOrder : null;
  }

  #drop(report: DroppedReport): void {
    this.#counts.set(report.fault, (this.#counts.get(report.fault) ?? 0) + 1);
    this.#dropped.push(report);
    if (this.#dropped.length > maxKeptReports) {
      this.#dropped.shift();
    }
  }

  #takeRecentReports(nowMs: number): RankReport[] {
    const reports: RankReport[] = [];
    for (let rank = 0; rank < this.#shape.rankCount; rank += 1) {
      const report = this.#latest.get(rank);
      if (report !== undefined && nowMs - report.measuredAtMs <= this.#settings.maxAgeMs) {
        reports.push(report);
      } else {
        this.#latest.delete(rank);
        this.#drop({ fault: ReportFault.Missing, rank, atMs: nowMs });
      }
    }
    return reports;
  }

  /** Returns shares by layer and expert, and updates the token rate, scaled up for missing ranks. */
  #combine(reports: readonly RankReport[]): Float64Array[] {
    const scale = this.#shape.rankCount / reports.length;
    let tokensPerS = 0;
    const observed = this.#series.map((series, layer) => {
      const sums = new Float64Array(series.level.length);
      for (const report of reports) {
        const tokens = report.tokens[layer] ?? [];
        for (let expert = 0; expert < sums.length; expert += 1) {
          sums[expert] = (sums[expert] ?? 0) + ((tokens[expert] ?? 0) * 1000) / report.windowMs;
        }
      }
      const total = sums.reduce((sum, rate) => sum + rate, 0);
      tokensPerS += (total * scale) / this.#shape.layerCount;
      return total > 0 ? sums.map((rate) => rate / total) : series.level.slice();
    });
    this.#tokensPerS = tokensPerS;
    return observed;
  }

  /** Updates the error estimate with the forecasts that are due. */
  #compareForecasts(measuredAtMs: number, observed: readonly Float64Array[]): void {
    const due = this.#pending.filter(({ forAtMs }) => forAtMs <= measuredAtMs);
    this.#pending = this.#pending.filter(({ forAtMs }) => forAtMs > measuredAtMs);
    for (const past of due) {
      this.#errorShare += errorSmoothing * (this.#computeRankError(past.shares, observed) - this.#errorShare);
    }
  }

  /**
   * Root mean square error of a rank's load, relative to the mean. The errors of single experts partly cancel
   * out on a rank, so their squares are summed over its slots.
   */
  #computeRankError(predicted: readonly Float64Array[], observed: readonly Float64Array[]): number {
    let squares = 0;
    for (const [layer, shares] of observed.entries()) {
      for (const [expert, share] of shares.entries()) {
        squares += (share - (predicted[layer]?.[expert] ?? 0)) ** 2;
      }
    }
    return Math.sqrt((squares / this.#shape.layerCount) * this.#shape.rankCount);
  }
}
