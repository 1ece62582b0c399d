/** How the actual work of a completed request compares with what was expected. */
export enum WorkError {
  /** Less than half of it. */
  Overestimated = "overestimated",
  Close = "close",
  /** More than twice as much. */
  Underestimated = "underestimated",
}
