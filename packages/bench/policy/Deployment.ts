/** Deployment that the bench models; sizes from the design's requirements. */
export interface Deployment {
  readonly name: string;
  readonly engineCount: number;
  readonly entryCount: number;
  readonly failureDomainCount: number;
  readonly domainLatencyMs: number;
  /** Share of the requests of each team; teams 0 to 2 are important, the last two are bulk. */
  readonly teamShares: readonly number[];
  /** Load peaks of this factor in the second of each three 5 s intervals. */
  readonly peakFactor: number;
}
