/** Why an agent rejected a request or an order instead of forwarding it. Each reason has a counter. */
export enum AgentRefusal {
  StampMissing = "stamp_missing",
  StampOfOtherIncarnation = "stamp_of_other_incarnation",
  StampTooOld = "stamp_too_old",
  AttemptMissing = "attempt_missing",
  AttemptRepeated = "attempt_repeated",
  TooManyAttempts = "too_many_attempts",
  /** An operator has drained the target. */
  TargetDrained = "target_drained",
  /** The agent could not renew its serving lease with control. */
  LeaseExpired = "lease_expired",
  /** A newer incarnation has announced the same target. */
  Superseded = "superseded",
  TargetLeaving = "target_leaving",
  /** No connection to the target could be made, so nothing was sent to it. */
  TargetUnreachable = "target_unreachable",
  /** The path or a header has characters that HTTP does not allow; answered with 400. */
  RequestMalformed = "request_malformed",
  OrderMalformed = "order_malformed",
  EpochTooOld = "epoch_too_old",
}
