import type { HeldRank } from "./HeldRank";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";
import { holdingRank } from "./holdingRank";
import { isWhole } from "./isWhole";

/**
 * Chooses the orders by which a lead makes sure of ranks in an activation in flight: what they report may change at any
 * moment while they may carry out other orders than its last ones. The group is held before the pass that the activation
 * is about; the other ranks disarm a version that no map has, which changes nothing but their fence. Empty when nothing
 * is in flight. The state of all ranks has to be read again afterwards.
 */
export function chooseFenceOrders(
  ranks: readonly HeldRank[],
  unsettled: readonly HeldRank[],
  reservedVersion: number,
): HoldOrder[] {
  const holder = ranks.find(({ heldStep }) => heldStep !== null);
  const step = holder?.heldStep ?? ranks.find(({ armed }) => armed !== null)?.armed?.step ?? null;
  if (step === null || !isWhole(ranks)) {
    return [];
  }
  const isDue = ranks.some((rank) => rank.step >= step);
  const heldRank = isDue ? null : (holder?.rank ?? holdingRank);
  return unsettled.map(({ rank, epoch }) =>
    rank === heldRank
      ? { kind: HoldOrderKind.Hold, rank, epoch, step }
      : { kind: HoldOrderKind.Disarm, rank, epoch, version: reservedVersion },
  );
}
