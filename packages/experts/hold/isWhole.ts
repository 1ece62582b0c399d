import type { HeldRank } from "./HeldRank";

/** Whether all ranks of a group are open and have the same epoch. */
export function isWhole(ranks: readonly HeldRank[]): boolean {
  return ranks.every(({ epoch, isOpen }) => isOpen && epoch === ranks[0]?.epoch);
}
