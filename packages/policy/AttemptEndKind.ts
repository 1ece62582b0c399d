/** How an attempt ended. */
export enum AttemptEndKind {
  /** The whole answer arrived. */
  Completed = "completed",
  /** The agent refused before forwarding: proved not run. */
  AgentRefused = "agent_refused",
  /** The target refused for overload: proved not run. */
  TargetOverloaded = "target_overloaded",
  /** No connection: proved not run. */
  ConnectFailed = "connect_failed",
  /** The target answered with an error after it ran the request. */
  TargetError = "target_error",
  FirstTokenTimeout = "first_token_timeout",
  TokenGapTimeout = "token_gap_timeout",
  /** The connection broke, or the stream ended without its final event. */
  StreamBroken = "stream_broken",
  TargetLeaving = "target_leaving",
  /** Cancelled by the policy or because the caller left. */
  Cancelled = "cancelled",
}
