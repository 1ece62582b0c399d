/** Outcomes of a target's end that was reported to a coordinator. */
export enum EndOutcome {
  Recorded = "recorded",
  /** The end had been recorded before, so nothing was written. */
  Known = "known",
  /** Not recorded, or not known to be recorded. */
  Unknown = "unknown",
}
