import type { RankHoldState } from "./RankHoldState";

/** Whether an activation is in flight on a group: a rank is armed, or pauses the group. */
export function isActivationInFlight(ranks: readonly RankHoldState[]): boolean {
  return ranks.some(({ armed, heldStep }) => armed !== null || heldStep !== null);
}
