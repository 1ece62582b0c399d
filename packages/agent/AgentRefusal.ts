/** Why an agent refused a request or an order before it was forwarded. Each reason has a counter. */
export enum AgentRefusal {
  StampMissing = "stamp_missing",
  StampOfOtherIncarnation = "stamp_of_other_incarnation",
  StampTooOld = "stamp_too_old",
  AttemptMissing = "attempt_missing",
  AttemptRepeated = "attempt_repeated",
  TooManyAttempts = "too_many_attempts",
  /** An operator has drained the target. */
  TargetDrained = "target_drained",
  /** The agent has lost control for longer than its serving lease. */
  LeaseExpired = "lease_expired",
  /** A newer process announces the same target. */
  Superseded = "superseded",
  TargetLeaving = "target_leaving",
  /** No connection to the target; nothing was sent to it. */
  TargetUnreachable = "target_unreachable",
  OrderMalformed = "order_malformed",
  EpochTooOld = "epoch_too_old",
}
