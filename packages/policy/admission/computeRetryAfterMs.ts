import type { Random } from "@clementinemux/common/Random";

const minRetryAfterMs = 100;
const maxRetryAfterMs = 60_000;

/**
 * Time after which a rejected caller should retry: the predicted wait multiplied by a random factor from 0.75
 * to 1.75, so that callers that were rejected together don't retry together.
 */
export function computeRetryAfterMs(waitMs: number, random: Random): number {
  const boundedMs = Math.min(Math.max(waitMs, minRetryAfterMs), maxRetryAfterMs);
  return Math.ceil(boundedMs * (0.75 + random()));
}
