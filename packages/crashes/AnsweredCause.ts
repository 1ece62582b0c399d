/** A target has answered a request with this prompt part, or this request, and went on. */
export interface AnsweredCause {
  /** Key of the prompt part or the request; named after the first kind that earlier releases know. */
  readonly part: string;
  readonly ageMs: number;
}
