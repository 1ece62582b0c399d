import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { RetryReason } from "@clementinemux/common/RetryReason";
import { AttemptEndKind } from "../AttemptEndKind";
import type { RequestState } from "../RequestState";
import { attemptEndTraits } from "./attemptEndTraits";

interface RetryContext {
  readonly maxAttempts: number;
  /** Predicted duration of another attempt. */
  readonly serviceMs: number;
  readonly hasServingTarget: boolean;
  readonly nowMs: number;
  /** Called last, because it consumes retry budget. */
  readonly tryTakeBudget: () => boolean;
}

type RetryPlan =
  { readonly retryReason: RetryReason } | { readonly refusal: RefusalReason; readonly outcome: Outcome };

/** Decides whether a request is retried after an attempt that ended without a response. */
export function planRetry(state: RequestState, end: AttemptEndKind, context: RetryContext): RetryPlan {
  const { retryReason, isProvedNotRun } = attemptEndTraits[end];
  const outcome = getOutcome(state, end);
  if (retryReason === null || (!isProvedNotRun && !state.request.repeatable)) {
    return { refusal: RefusalReason.TargetsFailed, outcome };
  }
  if (state.attemptCount >= context.maxAttempts) {
    return { refusal: RefusalReason.TargetsFailed, outcome };
  }
  if (!context.hasServingTarget) {
    const refusal = state.sentTokenCount > 0 ? RefusalReason.StreamNotResumable : RefusalReason.NoTarget;
    return { refusal, outcome };
  }
  if (context.nowMs + context.serviceMs > state.request.deadlineAtMs) {
    return { refusal: RefusalReason.DeadlineUnreachable, outcome };
  }
  if (!context.tryTakeBudget()) {
    return { refusal: RefusalReason.RetryBudgetSpent, outcome };
  }
  return { retryReason };
}

function getOutcome(state: RequestState, end: AttemptEndKind): Outcome {
  if (!state.mayHaveRun) {
    return Outcome.NotRun;
  }
  return end === AttemptEndKind.TargetError ? Outcome.RunFailed : Outcome.Unknown;
}
