/** Kinds of events in an engine's stream. */
export enum StreamEventKind {
  Token = "token",
  /** The event with the finish reason. */
  Final = "final",
  /** The `[DONE]` line. */
  Done = "done",
  Error = "error",
  /** Belongs to another attempt. */
  Foreign = "foreign",
  /** Has no token for the caller, such as a first chunk that contains only the role. */
  Empty = "empty",
  Malformed = "malformed",
}
