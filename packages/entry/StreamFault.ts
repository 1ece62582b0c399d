/** Faults in engines' streams that are hidden from the caller. Each has a counter. */
export enum StreamFault {
  ForeignResponse = "foreign_answer",
  ForeignEvent = "foreign_event",
  DuplicateToken = "duplicate_token",
  MissingToken = "missing_token",
  MalformedEvent = "malformed_event",
  EventTooLarge = "event_too_large",
  MissingFinalEvent = "missing_final_event",
  TooManyTokens = "too_many_tokens",
  TooManyEvents = "too_many_events",
  TokenCountMismatch = "token_count_mismatch",
}
