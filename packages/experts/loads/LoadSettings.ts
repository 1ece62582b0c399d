/** Settings of the load model. */
export interface LoadSettings {
  /** Weight of a window falls to 1/e after this time. */
  readonly smoothingMs: number;
  /** Time constant of the trend. */
  readonly trendMs: number;
  /** Reports older than this are dropped, and a rank without a newer one counts as missing. */
  readonly maxAgeMs: number;
}
