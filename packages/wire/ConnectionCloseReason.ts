/** Why a server closed a connection of a client. */
export enum ConnectionCloseReason {
  /** As many connections as allowed were open; idle ones go first. */
  TooMany = "too_many",
  /** No byte of a request's body came within the limit. */
  StalledBody = "stalled_body",
  /** The client read nothing of its response within the limit. */
  UnreadResponse = "unread_response",
  /** The client did not read its response, and others needed the memory. */
  Budget = "budget",
}
