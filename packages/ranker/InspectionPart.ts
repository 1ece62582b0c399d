/** What an inspection asks for beside the state of the rank. */
export enum InspectionPart {
  None = "none",
  /** Choices of each expert. */
  Counts = "counts",
  /** Experts that the rank holds. */
  Experts = "experts",
}
