import type { AttemptState } from "../AttemptState";

/** The gap of a stream is known well enough after this many tokens. */
const minTokenCount = 16;
/** A move costs another prefill, so the stream must be much slower than the mean. */
const minSlowdown = 2;

interface StreamOutlook {
  readonly remainingTokenCount: number;
  readonly meanGapMs: number;
  readonly deadlineAtMs: number;
  readonly nowMs: number;
}

/** Whether a stream goes so slowly that it will miss its deadline where a target of mean speed would not be as late. */
export function isStreamLate(attempt: AttemptState, outlook: StreamOutlook): boolean {
  const { firstTokenAtMs, tokenCount } = attempt;
  if (firstTokenAtMs === null || tokenCount < minTokenCount) {
    return false;
  }
  const gapMs = (outlook.nowMs - firstTokenAtMs) / (tokenCount - 1);
  const endsAtMs = outlook.nowMs + gapMs * outlook.remainingTokenCount;
  return endsAtMs > outlook.deadlineAtMs && gapMs > minSlowdown * outlook.meanGapMs;
}
