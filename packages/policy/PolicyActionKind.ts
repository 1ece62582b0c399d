/** Kinds of actions that the policy asks of the entry. */
export enum PolicyActionKind {
  Dispatch = "dispatch",
  Refuse = "refuse",
  CancelAttempt = "cancel_attempt",
}
