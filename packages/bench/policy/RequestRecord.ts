import type { Outcome } from "@clementinemux/common/Outcome";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";

/** Progress and outcome of one modelled request, for the checks and the results. */
export interface RequestRecord {
  readonly request: PolicyRequest;
  readonly outputTokenCount: number;
  readonly isMeasured: boolean;
  /** Tokens that reached the caller, in order. */
  deliveredCount: number;
  firstTokenAtMs: number | null;
  completedAtMs: number | null;
  refusedOutcome: Outcome | null;
  refusedAtMs: number | null;
  /** Whether an engine has started to process the request. */
  hasRun: boolean;
  /** Prompt tokens that the first attempt had to prefill; null before an engine admits it. */
  firstPrefillCount: number | null;
  attemptCount: number;
  /**
   * Set when tokens were lost or repeated, or when the request completed although it was rejected as not run.
   */
  isIncorrect: boolean;
}
