/** How the simulated group's expert placement follows the demand. */
export enum ShiftPlacement {
  /** No leader; the initial map stays active. */
  None = "none",
  /** The real group controller. */
  Controller = "product",
  /** Knows the demand and moves experts instantly; an upper bound for any leader. */
  Ideal = "ideal",
}
