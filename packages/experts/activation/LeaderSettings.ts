import type { GroupShape } from "../GroupShape";

/** Settings of a group leader for one lease. Times are on the leader's monotonic clock. */
export interface LeaderSettings {
  readonly shape: GroupShape;
  readonly epoch: number;
  /** Last decided version when the lease was granted; 0 for none. */
  readonly decidedVersion: number;
  /**
   * Time before which no order is sent: the grant of the lease plus `orderMaxAgeMs`, so that ranks no longer
   * accept orders of the previous leader.
   */
  readonly startAtMs: number;
  /** A map that is not decided within this time is aborted. */
  readonly activationTimeoutMs: number;
  /** Steps from the latest reported step to the step before which ranks are armed. */
  readonly armMarginSteps: number;
}
