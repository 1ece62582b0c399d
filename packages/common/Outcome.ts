/** What a caller may conclude about a request that did not get its whole answer. */
export enum Outcome {
  /** Proved: no target has run the request, and none will. */
  NotRun = "not_run",
  /** The request may have run, may be running, or may not have run. */
  Unknown = "unknown",
  /** A target ran the request and reported a failure. */
  RunFailed = "run_failed",
}
