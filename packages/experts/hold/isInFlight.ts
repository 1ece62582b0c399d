import type { HeldRank } from "./HeldRank";

/** Whether an activation has begun on a group: a rank is armed, or holds it. */
export function isInFlight(ranks: readonly HeldRank[]): boolean {
  return ranks.some(({ armed, heldStep }) => armed !== null || heldStep !== null);
}
