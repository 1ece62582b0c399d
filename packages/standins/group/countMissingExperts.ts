import type { ExpertMap } from "@clementinemux/experts/ExpertMap";

/** Number of experts that a rank holds in the next map and not in the present one. */
export function countMissingExperts(rank: number, present: ExpertMap | null, next: ExpertMap): number {
  let count = 0;
  for (const [index, { hosts }] of next.layers.entries()) {
    for (const [expert, ranks] of hosts.entries()) {
      const isHeld = present?.layers[index]?.hosts[expert]?.includes(rank) ?? false;
      count += ranks.includes(rank) && !isHeld ? 1 : 0;
    }
  }
  return count;
}
