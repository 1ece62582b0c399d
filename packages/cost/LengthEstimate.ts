/** Estimate of an answer's length, in tokens or relative to a base, and how sure it is. */
export interface LengthEstimate {
  readonly mean: number;
  /** Doublings between the tenth and the ninetieth percentile. */
  readonly spread: number;
}
