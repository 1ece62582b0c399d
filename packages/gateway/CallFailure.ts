/** Why a call to a target ended without a usable response. */
export enum CallFailure {
  /** No connection was established, so nothing was sent. */
  NotConnected = "not_connected",
  /** The connection broke or was reset; the request may have run. */
  Broken = "broken",
  /** The response belongs to another request; this one may have run. */
  ForeignResponse = "foreign_answer",
  /** The response violates the protocol; the request may have run. */
  Malformed = "malformed",
  /** The response has no end, or exceeds the limit for buffering; the request may have run. */
  TooLarge = "too_large",
  /** The target did not respond in time; the request may have run. */
  ResponseTimeout = "silent",
  /** The stream has started, but no event arrived for too long; the request is running or has run. */
  Stalled = "stalled",
}
