interface WaitInput {
  /** Time since the request arrived at this gateway. */
  readonly elapsedMs: number;
  /** Time that the caller had already waited before, as far as it is known. */
  readonly usedMs: number;
  /** Time from the arrival to the deadline. */
  readonly endMs: number;
  readonly objectiveMs: number;
}

/** Share of its objective that a request waits for a slot at most while it can still be on time. */
const waitShare = 0.4;
/** Callers abandon a stream that has not started after two seconds; this leaves time for the first event. */
const lateWaitMs = 1200;
/** Share of its time that a request waits at most when it can no longer be on time. */
const lateShare = 0.25;

/**
 * Longest time that a request waits for a slot, counted from its arrival. A caller that has waited longer
 * than the objective was rejected or cut off before: its request is late in any case, and it may not retry
 * again. This covers the load after a restart of all processes or of a group, when all callers return within
 * a second.
 */
export function computeWaitLimitMs({ elapsedMs, usedMs, endMs, objectiveMs }: WaitInput): number {
  const isLate = usedMs + elapsedMs > objectiveMs;
  return isLate ? Math.min(lateWaitMs, endMs * lateShare) : objectiveMs * waitShare;
}
