/** Why a request was sent to another target. */
export enum AttemptRetryReason {
  NotConnected = "not_connected",
  NotRun = "not_run",
  Broken = "broken",
  TargetFailure = "target_failure",
  Resume = "resume",
}
