/** Causes of a failed exchange between two processes. */
export enum WireErrorCode {
  FrameTooLarge = "frame_too_large",
  FrameMalformed = "frame_malformed",
  /** A frame was begun but not completed in time. */
  FrameIncomplete = "frame_incomplete",
  TooManyCalls = "too_many_calls",
  ConnectFailed = "connect_failed",
  ConnectionClosed = "connection_closed",
  Timeout = "timeout",
  /** The peer answered with an error of its own. */
  Remote = "remote",
  UnknownMessage = "unknown_message",
}
