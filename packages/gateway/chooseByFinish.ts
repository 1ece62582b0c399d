import type { Random } from "@clementinemux/common/Random";
import { pickAtWeight } from "@clementinemux/common/pickAtWeight";
import type { TargetCandidate } from "./TargetCandidate";
import type { TargetEstimate } from "./TargetEstimate";
import { nearFactor } from "./nearFactor";

/**
 * Draws two targets with a free slot, weighted by health and failure domain, and returns the one that is
 * expected to complete the request first. Gateways see each other's work up to half a second late, so if all of
 * them chose the best target they would overload it; two draws spread requests and still avoid the busiest
 * targets. Targets without memory for the request are used only if there are no others. Null when no target has
 * a slot.
 */
export function chooseByFinish<Candidate extends TargetCandidate>(
  candidates: readonly Candidate[],
  estimate: (candidate: Candidate) => TargetEstimate,
  random: Random,
): string | null {
  const [target, hasMemory] = drawBetter(candidates, estimate, random);
  if (target === null || hasMemory) {
    return target;
  }
  const fitting = candidates.filter((candidate) => estimate(candidate).hasMemory);
  return drawBetter(fitting, estimate, random)[0] ?? target;
}

/** Draws two targets. Returns the better one, and whether it has memory for the request. */
function drawBetter<Candidate extends TargetCandidate>(
  candidates: readonly Candidate[],
  estimate: (candidate: Candidate) => TargetEstimate,
  random: Random,
): readonly [string | null, boolean] {
  let totalWeight = 0;
  for (const candidate of candidates) {
    totalWeight += getWeight(candidate);
  }
  const first = pickAtWeight(candidates, getWeight, random() * totalWeight);
  const second = pickAtWeight(candidates, getWeight, random() * totalWeight);
  if (first === null || second === null) {
    return [null, false];
  }
  const [firstEstimate, secondEstimate] = [estimate(first), estimate(second)];
  const isFirst = isBetter(firstEstimate, secondEstimate);
  return isFirst ? [first.id, firstEstimate.hasMemory] : [second.id, secondEstimate.hasMemory];
}

function isBetter(one: TargetEstimate, other: TargetEstimate): boolean {
  return one.hasMemory === other.hasMemory ? one.finishMs <= other.finishMs : one.hasMemory;
}

/** 0 for a target without a free slot. */
function getWeight({ weight, isNear, load, slots }: TargetCandidate): number {
  return load < slots ? weight * (isNear ? nearFactor : 1) : 0;
}
