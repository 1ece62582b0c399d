/** A target has answered a request with this prompt part and went on. */
export interface PartClearance {
  readonly part: string;
  readonly ageMs: number;
}
