/** State that a gateway reports, by rank. */
export interface ChoiceReport {
  readonly inFlight: Float64Array;
  readonly leftMs: Float64Array;
}
