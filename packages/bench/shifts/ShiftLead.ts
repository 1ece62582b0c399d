/** Who keeps the experts of the model where they are chosen. */
export enum ShiftLead {
  /** Nobody; the group stays with the map that it formed with. */
  None = "none",
  /** The lead of this product. */
  Product = "product",
  /** A lead that knows the demand and moves experts in no time; bounds what any lead can reach. */
  Ideal = "ideal",
}
