import type { Outcome } from "@clementinemux/common/Outcome";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";

/** What the model knows of one request, for the checks and figures. */
export interface RequestRecord {
  readonly request: PolicyRequest;
  readonly answerTokenCount: number;
  readonly isMeasured: boolean;
  /** Tokens that reached the caller, in order. */
  deliveredCount: number;
  firstTokenAtMs: number | null;
  completedAtMs: number | null;
  refusedOutcome: Outcome | null;
  refusedAtMs: number | null;
  /** Whether an engine has worked on it. */
  hasRun: boolean;
  /** Prompt tokens that the first attempt had to compute. */
  firstPrefillCount: number | null;
  attemptCount: number;
  isWrong: boolean;
}
