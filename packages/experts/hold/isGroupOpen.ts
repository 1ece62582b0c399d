import type { RankHoldState } from "./RankHoldState";

/** Whether all ranks of a group are open and have the same epoch. */
export function isGroupOpen(ranks: readonly RankHoldState[]): boolean {
  return ranks.every(({ epoch, isOpen }) => isOpen && epoch === ranks[0]?.epoch);
}
