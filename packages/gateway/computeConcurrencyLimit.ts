import type { ConcurrencyLimitInput } from "./ConcurrencyLimitInput";

/**
 * The longest pause of a stream is about one and a half times the mean, so the mean has to stay below this
 * share.
 */
const targetGapShare = 0.65;
/** Share of the slots that is always used; a peak that passes within a second is no reason to reject more. */
const minSlotShare = 0.6;

/**
 * Concurrency limit for each engine that keeps pauses within the objective. All streams of an engine wait for
 * the same forward passes: a few more requests delay every stream, and slower passes then hold even more
 * requests. The time of a pass is modeled as a fixed part plus an equal part for each request, derived from
 * the present load.
 */
export function computeConcurrencyLimit(input: ConcurrencyLimitInput): number {
  const { slots, stride, stepMs, gapObjectiveMs, meanGapMs, meanLoad } = input;
  if (meanGapMs === null || gapObjectiveMs === 0 || meanLoad < 1) {
    return slots;
  }
  const fixedMs = stride * stepMs;
  const perRequestMs = Math.max(0.1, (meanGapMs - fixedMs) / meanLoad);
  const minLimit = slots * minSlotShare;
  if (fixedMs + perRequestMs * minLimit > gapObjectiveMs) {
    // The objective cannot be met by rejecting requests, so as many streams as possible are served late.
    return slots;
  }
  const limit = (gapObjectiveMs * targetGapShare - fixedMs) / perRequestMs;
  return Math.min(slots, Math.max(minLimit, limit));
}
