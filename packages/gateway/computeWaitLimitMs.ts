interface WaitInput {
  /** Time since the request arrived here. */
  readonly elapsedMs: number;
  /** Time for which its caller had waited before, as far as it is known. */
  readonly usedMs: number;
  /** Time from its arrival to its deadline. */
  readonly endMs: number;
  readonly objectiveMs: number;
}

/** A request that can still be on time waits for a place for this share of its objective at most. */
const waitShare = 0.4;
/** Callers give a stream up that has not begun after two seconds; the first event takes a part of them. */
const lateWaitMs = 1200;
/** Share of its time that a request waits at most when it cannot be on time any more. */
const lateShare = 0.25;

/**
 * Longest time that a request waits for a place, counted from its arrival. One whose caller has waited for longer than the
 * objective has been refused or cut off before: it is late whatever is done, and its caller may not come again. Answers
 * the load that follows a restart of all processes or of a group, when everybody comes back within a second.
 */
export function computeWaitLimitMs({ elapsedMs, usedMs, endMs, objectiveMs }: WaitInput): number {
  const isLate = usedMs + elapsedMs > objectiveMs;
  return isLate ? Math.min(lateWaitMs, endMs * lateShare) : objectiveMs * waitShare;
}
