/** Position of a received token relative to the next expected one. */
export enum TokenPosition {
  /** The next token of the response. */
  Next = "next",
  /** Already sent to the caller. */
  Duplicate = "duplicate",
  /** A token before it is missing. */
  Gap = "gap",
}
