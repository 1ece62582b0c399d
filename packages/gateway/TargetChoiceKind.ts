/** How a target is chosen among those with a free slot. */
export enum TargetChoiceKind {
  /** By expected work for services whose routes differ in priority or objective, else by free slots. */
  Auto = "auto",
  ExpectedWork = "expectedWork",
  FreeSlots = "freeSlots",
}
