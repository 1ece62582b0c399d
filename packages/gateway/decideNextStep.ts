import { AttemptOutcome } from "./AttemptOutcome";
import { NextStep } from "./NextStep";

interface StepInput {
  readonly outcome: AttemptOutcome;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether any attempt, this one included, may have run. */
  readonly mayHaveRun: boolean;
  readonly attemptsLeft: number;
  readonly leftMs: number;
}

/** With less time than this another attempt cannot bring an answer. */
const leastLeftMs = 60;

/** Decides what follows a failed attempt. The budget of repeats is asked by the caller of this function. */
export function decideNextStep(input: StepInput): NextStep {
  const { outcome, isRepeatable, mayHaveRun, attemptsLeft, leftMs } = input;
  const isSafe = isRepeatable || outcome === AttemptOutcome.NotSent || outcome === AttemptOutcome.NotRun;
  if (isSafe && attemptsLeft > 0 && leftMs > leastLeftMs) {
    return NextStep.Repeat;
  }
  return mayHaveRun ? NextStep.Fail : NextStep.Refuse;
}
