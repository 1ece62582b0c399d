import type { Random } from "@clementinemux/common/Random";
import type { WorkCandidate } from "./WorkCandidate";
import { chooseByFreeSlots } from "./chooseByFreeSlots";

/** A target's weight falls with this power of the time in which it is expected to complete the request. */
const finishPower = 4;

/**
 * Picks a target at random, weighted by the time in which it is expected to complete the request and by free
 * slots. Gateways see each other's work up to half a second late, so if all of them chose the best target they
 * would overload it. Null when no target has a slot.
 */
export function chooseByFinish(candidates: readonly WorkCandidate[], random: Random): string | null {
  const open = candidates.filter(({ load, slots }) => load < slots);
  const fitting = open.filter(({ hasMemory }) => hasMemory);
  const usable = fitting.length > 0 ? fitting : open;
  const bestMs = usable.reduce((best, { finishMs }) => Math.min(best, finishMs), Infinity);
  return chooseByFreeSlots(
    usable.map((candidate) => ({
      ...candidate,
      weight: candidate.weight * (bestMs / candidate.finishMs) ** finishPower,
    })),
    0,
    random,
  );
}
