/** How a request ended, from the gateway's view. */
export enum RequestEnd {
  Answered = "answered",
  /** An answer that the target marked as a failure was delivered. */
  TargetFailure = "target_failure",
  BadRequest = "bad_request",
  NoRoute = "no_route",
  UnknownKey = "unknown_key",
  TooLarge = "too_large",
  /** The gateway's knowledge is too old, or it has none yet. */
  NotFresh = "not_fresh",
  NoTarget = "no_target",
  /** The gateway holds as many requests or bytes as it may. */
  Overloaded = "overloaded",
  /** The gateway stops before the request can end; nothing was sent. */
  Stopping = "stopping",
  /** Every target is taken; nothing was sent. */
  Full = "full",
  /** Targets stated that they have not run the request. */
  TurnedAway = "turned_away",
  /** No target could be connected to; nothing was sent. */
  Unreachable = "unreachable",
  /** The request may have run and has no answer. */
  Unknown = "unknown",
  TimedOut = "timed_out",
  /** A stream broke after its first event. */
  StreamBroken = "stream_broken",
  CallerLeft = "caller_left",
}
