import type { ExpertMap } from "@clementinemux/experts/ExpertMap";

/** Number of experts that a rank hosts in the next map but not in the current one, summed over layers. */
export function countMissingExperts(rank: number, current: ExpertMap | null, next: ExpertMap): number {
  let count = 0;
  for (const [index, { hosts }] of next.layers.entries()) {
    for (const [expert, ranks] of hosts.entries()) {
      const isHosted = current?.layers[index]?.hosts[expert]?.includes(rank) ?? false;
      count += ranks.includes(rank) && !isHosted ? 1 : 0;
    }
  }
  return count;
}
