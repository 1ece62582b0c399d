import { AttemptOutcome } from "./AttemptOutcome";
import { NextStep } from "./NextStep";

interface StepInput {
  readonly outcome: AttemptOutcome;
  /** Whether the request may run more than once. */
  readonly isRetryable: boolean;
  /** Whether any attempt, including this one, may have run. */
  readonly mayHaveRun: boolean;
  readonly attemptsLeft: number;
  readonly leftMs: number;
}

/** Less time than this does not suffice for a response to another attempt. */
const minAttemptMs = 60;

/** Decides what follows a failed attempt. The caller of this function checks the retry budget. */
export function decideNextStep(input: StepInput): NextStep {
  const { outcome, isRetryable, mayHaveRun, attemptsLeft, leftMs } = input;
  const isSafe = isRetryable || outcome === AttemptOutcome.NotSent || outcome === AttemptOutcome.NotRun;
  if (isSafe && attemptsLeft > 0 && leftMs > minAttemptMs) {
    return NextStep.Retry;
  }
  return mayHaveRun ? NextStep.Fail : NextStep.Reject;
}
