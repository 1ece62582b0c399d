import type { Random } from "@clementinemux/common/Random";
import type { WorkCandidate } from "./WorkCandidate";

/** Preference for the gateway's own failure domain. */
const nearFactor = 1.3;

/**
 * Draws two targets with a free slot, weighted by health and failure domain, and returns the one that is
 * expected to complete the request first. Gateways see each other's work up to half a second late, so if all of
 * them chose the best target they would overload it; two draws spread requests and still avoid the busiest
 * targets. Null when no target has a slot.
 */
export function chooseByFinish(candidates: readonly WorkCandidate[], random: Random): string | null {
  const usable = listUsable(candidates);
  const total = usable.reduce((sum, candidate) => sum + getWeight(candidate), 0);
  const first = draw(usable, total, random);
  const second = draw(usable, total, random);
  if (first === null || second === null) {
    return null;
  }
  return first.finishMs <= second.finishMs ? first.id : second.id;
}

/** Targets with a free slot; those without enough memory only if there are no others. */
function listUsable(candidates: readonly WorkCandidate[]): readonly WorkCandidate[] {
  const open = candidates.filter(({ load, slots }) => load < slots);
  const fitting = open.filter(({ hasMemory }) => hasMemory);
  return fitting.length > 0 ? fitting : open;
}

function draw(
  candidates: readonly WorkCandidate[],
  totalWeight: number,
  random: Random,
): WorkCandidate | null {
  let remaining = random() * totalWeight;
  for (const candidate of candidates) {
    remaining -= getWeight(candidate);
    if (remaining < 0) {
      return candidate;
    }
  }
  return candidates.at(-1) ?? null;
}

function getWeight({ weight, isNear }: WorkCandidate): number {
  return weight * (isNear ? nearFactor : 1);
}
