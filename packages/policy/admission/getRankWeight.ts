import { lowerShare } from "./lowerShare";

/** Classes of this and higher ranks share a weight, so that virtual times stay exact. */
const maxRank = 5;

/** Weight of a class by the number of waiting classes that are more urgent. */
export function getRankWeight(rank: number): number {
  return lowerShare ** Math.min(maxRank, rank);
}
