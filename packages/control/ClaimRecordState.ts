/** States of a claim record. */
export enum ClaimRecordState {
  Claimed = "claimed",
  Cancelled = "cancelled",
  Recorded = "recorded",
  OutcomeUnknown = "outcome_unknown",
}
