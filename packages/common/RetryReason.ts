/** Why another attempt was started for a request. Each reason has a counter. */
export enum RetryReason {
  ConnectFailed = "connect_failed",
  AgentRefused = "agent_refused",
  TargetOverloaded = "target_overloaded",
  TargetError = "target_error",
  FirstTokenTimeout = "first_token_timeout",
  TokenGapTimeout = "token_gap_timeout",
  StreamBroken = "stream_broken",
  TargetLeaving = "target_leaving",
  Hedge = "hedge",
}
