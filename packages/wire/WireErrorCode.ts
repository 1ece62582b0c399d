/** Causes of a failed call or connection between two processes. */
export enum WireErrorCode {
  FrameTooLarge = "frame_too_large",
  FrameMalformed = "frame_malformed",
  /** The rest of a frame did not arrive in time. */
  FrameIncomplete = "frame_incomplete",
  TooManyCalls = "too_many_calls",
  ConnectFailed = "connect_failed",
  ConnectionClosed = "connection_closed",
  Timeout = "timeout",
  /** The peer responded with an error. */
  Remote = "remote",
  UnknownMessage = "unknown_message",
  /** The peer is stopping, or has not started yet, and has not run the call. */
  Stopping = "stopping",
}
