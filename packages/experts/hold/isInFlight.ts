import type { HeldRank } from "./HeldRank";

/** Whether an activation is in flight on a group: a rank is armed, or pauses the group. */
export function isInFlight(ranks: readonly HeldRank[]): boolean {
  return ranks.some(({ armed, heldStep }) => armed !== null || heldStep !== null);
}
