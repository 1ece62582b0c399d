/** How an attempt ended. */
export enum AttemptEndKind {
  /** The complete response arrived. */
  Completed = "completed",
  /** The agent rejected the request before forwarding it, so it has not run. */
  AgentRefused = "agent_refused",
  /** The target rejected the request because of overload, so it has not run. */
  TargetOverloaded = "target_overloaded",
  /** No connection could be established, so the request has not run. */
  ConnectFailed = "connect_failed",
  /** The target ran the request and responded with an error. */
  TargetError = "target_error",
  FirstTokenTimeout = "first_token_timeout",
  TokenGapTimeout = "token_gap_timeout",
  /** The connection was lost, or the stream ended without its final event. */
  StreamBroken = "stream_broken",
  TargetLeaving = "target_leaving",
  /** Cancelled by the policy, or because the caller disconnected. */
  Cancelled = "cancelled",
}
