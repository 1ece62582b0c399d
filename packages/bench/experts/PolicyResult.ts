/** Result of one policy over one day. */
export interface PolicyResult {
  readonly policy: string;
  readonly skewMean: number;
  readonly skewP99: number;
  /** Mean skew divided by the mean lower bound. */
  readonly overLowerBound: number;
  readonly movedGB: number;
  /** Work delayed by moves and activations, as a share of the day. */
  readonly delayedWorkShare: number;
  readonly mapChanges: number;
  readonly planP99Ms: number;
  readonly mixedMapSteps: number;
  /** Ranks reported for replacement. */
  readonly reportedRanks: readonly number[];
  /** Skew over the day, one value per 15 minutes. */
  readonly skewSeries: readonly number[];
}
