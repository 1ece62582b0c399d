/** What a rank reports about one time window. */
export interface RankReport {
  readonly rank: number;
  readonly incarnation: string;
  /** Version of the map that was in force during the window. */
  readonly mapVersion: number;
  /** End of the window, on the lead's clock after correction for the stamp's age. */
  readonly measuredAtMs: number;
  readonly windowMs: number;
  /**
   * Tokens of the rank's own requests by layer and expert, wherever the expert ran. The loss of a rank's report
   * then loses a sample of the group's traffic and not the load of the experts that the rank holds.
   */
  readonly tokens: readonly (readonly number[] | Float64Array)[];
  /** Mean time that the rank computed per step, without waiting for other ranks. */
  readonly stepMs: number;
}
