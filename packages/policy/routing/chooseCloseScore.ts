import type { Random } from "@clementinemux/common/Random";
import type { Candidate } from "./Candidate";

/** Scores within this share of the best count as equal, because late load reports are not more precise. */
const closeShare = 0.25;
const closeMs = 2;

/**
 * Chooses at random among the candidates whose scores are close to the best, so that entries don't choose
 * alike.
 */
export function chooseCloseScore(candidates: readonly Candidate[], random: Random): Candidate | null {
  const bestMs = candidates.reduce((best, { scoreMs }) => Math.min(best, scoreMs), Number.POSITIVE_INFINITY);
  const close = candidates.filter(({ scoreMs }) => scoreMs <= bestMs * (1 + closeShare) + closeMs);
  return close[Math.floor(random() * close.length)] ?? null;
}
