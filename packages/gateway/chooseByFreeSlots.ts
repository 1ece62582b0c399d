import type { Random } from "@clementinemux/common/Random";
import type { TargetCandidate } from "./TargetCandidate";

/** A target's weight grows with the cube of its free share of slots. */
const spreadPower = 3;
/** Preference for the gateway's own failure domain among targets with equal load. */
const nearFactor = 1.3;

/**
 * Picks a target at random, weighted by free slots. Gateways see each other's load up to half a second late,
 * so if all of them chose the emptiest target they would overload it. `queueSlots` more requests may wait at
 * each target. Null when no target has a slot.
 */
export function chooseByFreeSlots(
  candidates: readonly TargetCandidate[],
  queueSlots: number,
  random: Random,
): string | null {
  const open = candidates.filter(({ load, slots }) => load < slots + queueSlots);
  const weights = open.map(({ load, slots, weight, isNear }) => {
    const free = Math.max(slots + queueSlots - load, 0) / (slots + queueSlots);
    return free ** spreadPower * weight * (isNear ? nearFactor : 1);
  });
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) {
      return open[index]?.id ?? null;
    }
  }
  return open.at(-1)?.id ?? null;
}
