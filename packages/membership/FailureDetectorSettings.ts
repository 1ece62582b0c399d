/** Timeouts and limits of the failure detector. */
export interface FailureDetectorSettings {
  /** Failure domain of this observer. */
  readonly failureDomain: string;
  /**
   * Time without contact after which a target is suspect: one and a half heartbeat intervals, to allow for
   * jitter.
   */
  readonly suspectAfterMs: number;
  /**
   * Minimum time between suspicion and removal. Longer than a heartbeat interval, so that the other targets
   * behind a failed switch are suspect by then and the mass suspicion is detected before the first removal.
   */
  readonly confirmAfterMs: number;
  /** Interval between rounds of probes of a suspect target. */
  readonly probeIntervalMs: number;
  /** Longest interval between probes of a target that responds to probes but sends no heartbeats. */
  readonly maxProbeIntervalMs: number;
  /** A tick that is later than this means that this process was stalled. */
  readonly stallToleranceMs: number;
  /** Time after a stall of this process in which it reads its sockets before it evaluates targets again. */
  readonly stallGraceMs: number;
  /** Share of a failure domain or of the fleet above which suspect targets count as a mass suspicion. */
  readonly maxEjectedShare: number;
  /**
   * Fewest suspects of a mass suspicion: a single suspect in a small failure domain may already exceed the
   * share.
   */
  readonly minMassCount: number;
  readonly massWindowMs: number;
  /** Minimum time for which a mass suspicion of a failure domain prevents removal of its targets. */
  readonly massHoldMs: number;
  /** Removals within `flapWindowMs` after which a target that returns starts with a lower weight. */
  readonly flapCount: number;
  readonly flapWindowMs: number;
  /** Time without suspicion after which a lowered weight is restored. */
  readonly stableAfterMs: number;
}
