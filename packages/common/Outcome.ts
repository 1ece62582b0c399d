/** What a caller may conclude about a request without a complete response. */
export enum Outcome {
  /** It is certain that no target has run the request, and that none will. */
  NotRun = "not_run",
  /** The request may have run, may be running, or may not have run. */
  Unknown = "unknown",
  /** A target ran the request and reported a failure. */
  RunFailed = "run_failed",
}
