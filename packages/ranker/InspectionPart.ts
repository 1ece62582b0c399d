/** What an inspection returns in addition to the state of the rank. */
export enum InspectionPart {
  None = "none",
  /** How often the router has chosen each expert. */
  Counts = "counts",
  /** Experts that the rank holds. */
  Experts = "experts",
}
