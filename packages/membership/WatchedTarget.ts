/** What an observer knows of a target that it watches. */
export interface WatchedTarget {
  readonly target: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  lastHeardMs: number;
  /** Whether the target itself was heard here, not only adopted from another relay. */
  heard: boolean;
  /** Null while the target is not suspect. */
  suspectSinceMs: number | null;
  /** Failure domains of the observers that failed to reach it in this round. */
  readonly failedDomains: Set<string>;
  nextProbeAtMs: number;
  /** Probes in a row that were answered although heartbeats were missing. */
  answeredProbeCount: number;
  lowered: boolean;
  lastSuspectMs: number;
}
