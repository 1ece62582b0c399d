/** Load expected at a time, with the model's own estimate of its error. */
export interface Forecast {
  /** Tokens per second by layer and expert. */
  readonly loads: readonly Float64Array[];
  /** Relative error of a rank's load, from the errors of earlier forecasts over the same lead time. */
  readonly errorShare: number;
  /** Share of the ranks with a report that is not too old. */
  readonly coverage: number;
}
