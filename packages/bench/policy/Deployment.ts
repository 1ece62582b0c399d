/** Size and load distribution of a modelled fleet. */
export interface Deployment {
  readonly name: string;
  readonly engineCount: number;
  readonly entryCount: number;
  readonly failureDomainCount: number;
  readonly domainLatencyMs: number;
  /** Each team's share of the requests. Teams 0 to 2 are of class important, the last two of class bulk. */
  readonly teamShares: readonly number[];
  /** Factor on the load during every second of three 5 s intervals; 1 for no peaks. */
  readonly peakFactor: number;
}
