import type { Random } from "@clementinemux/common/Random";
import type { PlacementCandidate } from "./PlacementCandidate";

/** Emptier targets are preferred by the cube of their free share. */
const spreadPower = 3;
/** Preference for the entry's own failure domain, among targets that are equally loaded. */
const nearFactor = 1.3;

/**
 * Draws a target by its free places. Entries see each other's load up to half a second late, so that all of them
 * choosing the emptiest target would overload it. Null when no target has a place; `queuePlaces` may wait at each.
 */
export function choosePlace(
  candidates: readonly PlacementCandidate[],
  queuePlaces: number,
  random: Random,
): string | null {
  const open = candidates.filter(({ load, slots }) => load < slots + queuePlaces);
  const weights = open.map(({ load, slots, weight, isNear }) => {
    const free = Math.max(slots + queuePlaces - load, 0) / (slots + queuePlaces);
    return free ** spreadPower * weight * (isNear ? nearFactor : 1);
  });
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) {
      return open[index]?.id ?? null;
    }
  }
  return open.at(-1)?.id ?? null;
}
