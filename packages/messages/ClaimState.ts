/** Results of a claim. Only `granted` allows the request to be dispatched. */
export enum ClaimState {
  Granted = "granted",
  InProgress = "in_progress",
  Recorded = "recorded",
  OutcomeUnknown = "outcome_unknown",
  KeyReused = "key_reused",
  KeyExpired = "key_expired",
}
