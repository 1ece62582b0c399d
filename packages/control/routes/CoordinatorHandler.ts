/** What an exception in a handler of a coordinator concerns. */
export enum CoordinatorHandler {
  /** One message of another process. */
  Message = "message",
  /** One rank, or one rank group. */
  Ranks = "ranks",
  /** One round of a periodic task. */
  Round = "round",
}
