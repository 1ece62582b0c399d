import type { TargetCandidate } from "./TargetCandidate";

/** A target with a free slot that could be chosen by the work that remains there. */
export interface WorkCandidate extends TargetCandidate {
  /** Time in which it is expected to complete the request. */
  readonly finishMs: number;
  /** Whether its memory is expected to hold the request until its end. */
  readonly hasMemory: boolean;
}
