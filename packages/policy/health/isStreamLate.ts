import type { AttemptState } from "../AttemptState";

/** With fewer tokens the mean gap of a stream is not reliable. */
const minTokenCount = 16;
/** Moving a stream costs another prefill, so it must be much slower than the mean. */
const minSlowdown = 2;

interface StreamForecast {
  readonly remainingTokenCount: number;
  readonly meanGapMs: number;
  readonly deadlineAtMs: number;
  readonly nowMs: number;
}

/**
 * Whether a stream will miss its deadline and is so much slower than the mean that moving it is worth another
 * prefill.
 */
export function isStreamLate(attempt: AttemptState, forecast: StreamForecast): boolean {
  const { firstTokenAtMs, tokenCount } = attempt;
  if (firstTokenAtMs === null || tokenCount < minTokenCount) {
    return false;
  }
  const gapMs = (forecast.nowMs - firstTokenAtMs) / (tokenCount - 1);
  const endsAtMs = forecast.nowMs + gapMs * forecast.remainingTokenCount;
  return endsAtMs > forecast.deadlineAtMs && gapMs > minSlowdown * forecast.meanGapMs;
}
