import type { Random } from "@clementinemux/common/Random";
import { pickAtWeight } from "@clementinemux/common/pickAtWeight";
import type { TargetCandidate } from "./TargetCandidate";
import { nearFactor } from "./nearFactor";

/** A target's weight grows with the cube of its free share of slots. */
const spreadPower = 3;

/**
 * Picks a target at random, weighted by free slots. Gateways see each other's load up to half a second late,
 * so if all of them chose the emptiest target they would overload it. `queueSlots` more requests may wait at
 * each target. No target gets more than `maxWeightRatio` times the weight of the median one. Null when no target has a
 * slot.
 */
export function chooseByFreeSlots(
  candidates: readonly TargetCandidate[],
  queueSlots: number,
  random: Random,
  maxWeightRatio = Infinity,
): string | null {
  const open = candidates.filter(({ load, slots }) => load < slots + queueSlots);
  const freeWeights = open.map(({ load, slots, weight, isNear }) => {
    const free = Math.max(slots + queueSlots - load, 0) / (slots + queueSlots);
    return free ** spreadPower * weight * (isNear ? nearFactor : 1);
  });
  const weights = capWeights(freeWeights, maxWeightRatio);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const chosen = pickAtWeight(open, (_, index) => weights[index] ?? 0, random() * totalWeight);
  return (chosen ?? open.at(-1))?.id ?? null;
}

function capWeights(weights: readonly number[], maxRatio: number): readonly number[] {
  if (maxRatio === Infinity) {
    return weights;
  }
  const sorted = [...weights].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return weights.map((weight) => Math.min(weight, median * maxRatio));
}
