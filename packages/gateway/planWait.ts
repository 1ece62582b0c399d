import type { WaitPlan } from "./WaitPlan";

interface WaitInput {
  /** Time since the request arrived here. */
  readonly elapsedMs: number;
  /** Time that the caller had left when it arrived; null when it does not say. */
  readonly leftMs: number | null;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
}

/** A request that can still be on time waits for a place for this share of its objective at most. */
const waitShare = 0.4;
/** Callers give a stream up that has not begun after two seconds; the first event takes a part of them. */
const lateWaitMs = 1200;
/** Places that are left to requests that can be on time, as long as a late one can wait. */
const lateCapShare = 0.8;
/** Share of its time that a request waits at most when it cannot be on time any more. */
const lateShare = 0.25;

/**
 * How a request waits for a place. One whose caller has waited for longer than the objective has been refused or cut off
 * before: it is late whatever is done, and its caller may not come again. It waits longer, and lets those pass that can be
 * on time. Answers the load that follows a restart of all processes or of a group, when everybody comes back within a
 * second.
 */
export function planWait({ elapsedMs, leftMs, objectiveMs, timeoutMs }: WaitInput): WaitPlan {
  const usedBeforeMs = leftMs === null ? 0 : Math.max(0, timeoutMs - leftMs);
  const isLate = usedBeforeMs + elapsedMs > objectiveMs;
  const endMs = Math.min(timeoutMs, leftMs ?? Infinity);
  return isLate
    ? { limitMs: Math.min(lateWaitMs, endMs * lateShare), capShare: lateCapShare }
    : { limitMs: objectiveMs * waitShare, capShare: 1 };
}
