/** Outcome of an attempt at a target, as far as a retry is concerned. */
export enum AttemptOutcome {
  /** Nothing was sent. */
  NotSent = "not_sent",
  /** The target states that it has not run the request. */
  NotRun = "not_run",
  /** The target ran the request and failed. */
  Failed = "failed",
  /** It is not known whether the request ran. */
  Unknown = "unknown",
}
