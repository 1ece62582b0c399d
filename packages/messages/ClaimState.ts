/** Answers to a claim. Only `granted` allows a dispatch. */
export enum ClaimState {
  Granted = "granted",
  InProgress = "in_progress",
  Recorded = "recorded",
  OutcomeUnknown = "outcome_unknown",
  KeyReused = "key_reused",
  KeyExpired = "key_expired",
}
