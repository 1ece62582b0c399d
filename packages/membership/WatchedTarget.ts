/** What an observer knows about a target that it watches. */
export interface WatchedTarget {
  readonly target: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  lastContactMs: number;
  /**
   * Whether the target has contacted this relay; false for a target that was only adopted from another relay.
   */
  hasOwnContact: boolean;
  /** Null while the target is not suspect. */
  suspectSinceMs: number | null;
  /** Failure domains of the observers that failed to reach the target in this round. */
  readonly failedDomains: Set<string>;
  nextProbeAtMs: number;
  /** Successful probes in a row while heartbeats were missing. */
  successfulProbeCount: number;
  isWeightLowered: boolean;
  lastSuspectMs: number;
}
