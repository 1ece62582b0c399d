/** Kinds of orders from a group lead to a rank. */
export enum RankOrderKind {
  /** Asks for a status and makes the rank note the epoch. */
  Query = "query",
  /** Tells a started rank which maps to use. */
  Join = "join",
  Prepare = "prepare",
  Arm = "arm",
  Tell = "tell",
}
