/** Times and bounds of the failure suspicion. */
export interface SuspicionSettings {
  /** Failure domain of this observer. */
  readonly failureDomain: string;
  /** Silence after which a target is suspect: one heartbeat interval and half of the next, for jitter. */
  readonly suspectAfterMs: number;
  /**
   * Earliest removal after the suspicion. Longer than a heartbeat interval, so that the other targets behind
   * a failed switch are suspect by then and the mass suspicion is seen before the first removal.
   */
  readonly confirmAfterMs: number;
  /** Pause between two rounds of probes of the same suspect target. */
  readonly probeIntervalMs: number;
  /** Longest pause between probes of a target that answers probes but sends no heartbeats. */
  readonly maxProbeIntervalMs: number;
  /** Lateness of the own timer above which this process takes itself for stalled. */
  readonly stallToleranceMs: number;
  /** After a stall of its own, time for the process to read its sockets before it judges others. */
  readonly stallGraceMs: number;
  /** Share of a failure domain or of the fleet above which suspicions count as a mass suspicion. */
  readonly maxEjectedShare: number;
  /** A single suspect in a small failure domain is above the share, but is not a mass suspicion. */
  readonly minMassCount: number;
  readonly massWindowMs: number;
  /** A mass suspicion of a failure domain keeps its targets in for at least this long. */
  readonly massHoldMs: number;
  /** Removals within `flapWindowMs` after which a returning target starts with a lower weight. */
  readonly flapCount: number;
  readonly flapWindowMs: number;
  /** Time without a suspicion after which the weight is restored. */
  readonly stableAfterMs: number;
}
