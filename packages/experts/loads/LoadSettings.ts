/** Settings of the load model. */
export interface LoadSettings {
  /** The weight of a window decays to 1/e in this time. */
  readonly smoothingMs: number;
  /** Time constant of the trend. */
  readonly trendMs: number;
  /** Reports older than this are dropped, and a rank without a newer report counts as missing. */
  readonly maxAgeMs: number;
}
