export enum PolicyActionKind {
  Dispatch = "dispatch",
  Refuse = "refuse",
  CancelAttempt = "cancel_attempt",
}
