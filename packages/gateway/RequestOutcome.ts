/** Outcome of a request as seen by the gateway. */
export enum RequestOutcome {
  Answered = "answered",
  /** A response that the target marked as a failure was delivered. */
  TargetFailure = "target_failure",
  BadRequest = "bad_request",
  NoRoute = "no_route",
  UnknownKey = "unknown_key",
  /** The target, the names and the values of the headers together are beyond the limit; nothing was sent. */
  HeadTooLarge = "head_too_large",
  TooLarge = "too_large",
  /** The body was not complete within the timeout of the route; nothing was sent. */
  UploadTooSlow = "upload_too_slow",
  /** Unfinished uploads held more than their share, and this one held most; nothing was sent. */
  UploadDropped = "upload_dropped",
  /** The gateway's state is too old, or it has none yet. */
  NotFresh = "not_fresh",
  NoTarget = "no_target",
  /** The name of the team in the document has control characters, which no target could be told; nothing was sent. */
  UnusableTeam = "unusable_team",
  /** The gateway is at its limit of requests in flight or buffered bytes. */
  Overloaded = "overloaded",
  /** The gateway stops before the request could complete; nothing was sent. */
  Stopping = "stopping",
  /** No target has a free slot; nothing was sent. */
  Full = "full",
  /** All targets are in evacuated failure domains; nothing was sent. */
  Evacuated = "evacuated",
  /** All targets limit their requests, and none has a permit in time; nothing was sent. */
  Limited = "limited",
  /** The request or a part of its prompt is suspected of crashing targets; nothing was sent. */
  Suspect = "suspect",
  /** Targets stated that they have not run the request. */
  Rejected = "turned_away",
  /** No connection to a target could be established; nothing was sent. */
  Unreachable = "unreachable",
  /** The request may have run and has no response. */
  Unknown = "unknown",
  TimedOut = "timed_out",
  /** A stream broke after its first event. */
  StreamBroken = "stream_broken",
  CallerDisconnected = "caller_left",
}
