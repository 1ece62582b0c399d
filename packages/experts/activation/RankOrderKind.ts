/** Kinds of orders from a group leader to a rank. */
export enum RankOrderKind {
  /** Requests a status and makes the rank record the epoch. */
  Query = "query",
  /** Sends a restarted rank the schedule of the maps to use. */
  Join = "join",
  Prepare = "prepare",
  Arm = "arm",
  /** Sends the decision on a map version. */
  Decide = "tell",
}
