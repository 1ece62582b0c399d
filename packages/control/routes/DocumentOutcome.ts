/** What became of a route document that an operator sent. */
export enum DocumentOutcome {
  Acknowledged = "acknowledged",
  /** Not stored, or not known to be stored. */
  Unknown = "unknown",
}
