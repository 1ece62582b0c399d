/** A target has answered a request with this prompt part and went on. */
export interface AnsweredPart {
  readonly part: string;
  readonly ageMs: number;
}
