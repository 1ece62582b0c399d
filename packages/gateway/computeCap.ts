import type { CapInput } from "./CapInput";

/** The longest pause of a stream is about one and a half times the mean, so the mean has to stay below this share. */
const goalShare = 0.65;
/** Slots that are used whatever the pauses: a peak that passes within a second is no reason to refuse more. */
const leastShare = 0.6;

/**
 * Requests that each engine should run at once so that pauses stay within the objective. All streams of an engine wait
 * for the same passes: a few more requests make every stream late, and the passes then hold more requests still.
 * The time of a pass is taken as a fixed part and an equal part for each request, measured at the present load.
 */
export function computeCap(input: CapInput): number {
  const { slots, stride, stepMs, gapObjectiveMs, meanGapMs, meanLoad } = input;
  if (meanGapMs === null || gapObjectiveMs === 0 || meanLoad < 1) {
    return slots;
  }
  const fixedMs = stride * stepMs;
  const perRequestMs = Math.max(0.1, (meanGapMs - fixedMs) / meanLoad);
  const leastCap = slots * leastShare;
  if (fixedMs + perRequestMs * leastCap > gapObjectiveMs) {
    // Pauses are too long whatever is refused, so that as many streams as possible are served late.
    return slots;
  }
  const cap = (gapObjectiveMs * goalShare - fixedMs) / perRequestMs;
  return Math.min(slots, Math.max(leastCap, cap));
}
