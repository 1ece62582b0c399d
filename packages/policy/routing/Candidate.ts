import type { TargetState } from "../TargetState";

/** A target that can accept a request, with the predicted duration of the request on it. */
export interface Candidate {
  readonly target: TargetState;
  readonly scoreMs: number;
  /** Predicted time to the first token, for adaptive limits and hedges. */
  readonly firstTokenMs: number;
  /** Parts of the score in milliseconds, for the explain log. */
  readonly parts: Readonly<Record<string, number>>;
}
