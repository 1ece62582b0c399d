/** Outcomes of a route document submitted by an operator. */
export enum DocumentOutcome {
  Acknowledged = "acknowledged",
  /** Not stored, or not known to be stored. */
  Unknown = "unknown",
}
