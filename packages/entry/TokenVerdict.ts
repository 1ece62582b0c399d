/** What to do with a token of a stream. */
export enum TokenVerdict {
  /** The next token of the answer. */
  Next = "next",
  /** Already sent to the caller. */
  Duplicate = "duplicate",
  /** A token before it is missing. */
  Gap = "gap",
}
