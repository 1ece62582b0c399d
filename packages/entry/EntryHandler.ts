/** What an exception in a handler of an entry concerns. */
export enum EntryHandler {
  /** One request of a caller. */
  Request = "request",
  /** One round of a periodic task. */
  Round = "round",
}
