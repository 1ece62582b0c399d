import type { ColdBounds } from "./ColdBounds";

/**
 * Requests of one second in the worst case, in multiples of the rate: those of the second itself, a burst of 0.1 s,
 * 0.4 s of answers and sends that are late, and 1 s of what the previous leader has promised.
 */
const worstCaseFactor = 2.5;
/** Each of the two schedules starts with a whole request. */
const worstCaseExtraRequests = 2;
/** With permits 2 s apart, the worst case is one request of each of two leaders. */
const minRatePerS = 0.5;

/** Rate of the permits for a cold target, in requests per second, that keeps within the bound through a change of leader. */
export function computeColdRatePerS(requestsPerS: number, { excess, slack }: ColdBounds): number {
  const bound = requestsPerS * excess + slack;
  return Math.min(requestsPerS, Math.max(minRatePerS, (bound - worstCaseExtraRequests) / worstCaseFactor));
}
