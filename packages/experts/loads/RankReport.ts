/** Report of a rank on one time window. */
export interface RankReport {
  readonly rank: number;
  readonly incarnation: string;
  /** Version of the map that was active during the window. */
  readonly mapVersion: number;
  /** End of the window, on the leader's clock, corrected by the age of the stamp. */
  readonly measuredAtMs: number;
  readonly windowMs: number;
  /**
   * Tokens of the rank's own requests by layer and expert, on whichever rank the expert ran. A missing report
   * then only reduces the sample of the group's traffic, and does not hide the load of the experts that the
   * rank holds.
   */
  readonly tokens: readonly (readonly number[] | Float64Array)[];
  /** Mean compute time per step, without the time spent waiting for other ranks. */
  readonly stepMs: number;
}
