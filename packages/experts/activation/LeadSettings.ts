import type { GroupShape } from "../GroupShape";

/** Settings of a group lead for one lease. Times are on the lead's monotonic clock. */
export interface LeadSettings {
  readonly shape: GroupShape;
  readonly epoch: number;
  /** Last decided version when the lease was granted; 0 when none. */
  readonly decidedVersion: number;
  /** First order: the grant plus `orderMaxAgeMs`, so that no order of the previous lead is accepted after it. */
  readonly startAtMs: number;
  /** A map that is not decided by then is aborted. */
  readonly activationTimeoutMs: number;
  /** Steps between the latest known step and the step before which ranks are armed. */
  readonly armMarginSteps: number;
}
