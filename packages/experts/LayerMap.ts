/**
 * Placement of one layer's experts. Both arrays are indexed by expert, and their inner arrays have equal
 * lengths.
 */
export interface LayerMap {
  /** Ranks that hold the expert, without duplicates. */
  readonly hosts: readonly (readonly number[])[];
  /** Share of the expert's traffic that each of these ranks gets; sums to 1 per expert. */
  readonly shares: readonly (readonly number[])[];
}
