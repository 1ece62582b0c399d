/** Forecast load, with an estimate of its error. */
export interface Forecast {
  /** Tokens per second by layer and expert. */
  readonly loads: readonly Float64Array[];
  /** Relative error of a rank's load, from the errors of earlier forecasts. */
  readonly errorShare: number;
  /** Share of the ranks with a recent report. */
  readonly coverage: number;
}
