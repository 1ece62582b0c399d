import type { TargetState } from "../TargetState";

/** A target that may take a request, with the time the request is predicted to take there. */
export interface Candidate {
  readonly target: TargetState;
  readonly scoreMs: number;
  /** Predicted time to the first token, for adaptive limits and hedges. */
  readonly firstTokenMs: number;
  /** Parts of the score in milliseconds, for `explain`. */
  readonly parts: Readonly<Record<string, number>>;
}
