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
  /** Carries nothing for the caller, such as the role of the first chunk. */
  Empty = "empty",
  Malformed = "malformed",
}
