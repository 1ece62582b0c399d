import type { Random } from "@clementinemux/common/Random";

const minRetryAfterMs = 100;
const maxRetryAfterMs = 60_000;

/**
 * Time after which a refused caller should return: the wait that the backlog implies, spread over 0.75 to 1.75
 * times itself, so that callers refused together do not return together.
 */
export function computeRetryAfterMs(waitMs: number, random: Random): number {
  const boundedMs = Math.min(Math.max(waitMs, minRetryAfterMs), maxRetryAfterMs);
  return Math.ceil(boundedMs * (0.75 + random()));
}
