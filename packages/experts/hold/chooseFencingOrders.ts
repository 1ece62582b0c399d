import type { RankHoldState } from "./RankHoldState";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";
import { pausingRank } from "./pausingRank";
import { isGroupOpen } from "./isGroupOpen";

/**
 * Chooses orders that fence off earlier orders during an activation in flight. A rank that may still carry
 * out an order of another leader, or an earlier order of this one, can change its state at any time. The
 * group is paused before the pass at which the map switches. The other ranks get an order to disarm a version
 * that no map has, which changes only their fencing token. Empty when no activation is in flight. The state
 * of all ranks has to be read again afterwards.
 */
export function chooseFencingOrders(
  ranks: readonly RankHoldState[],
  unsettled: readonly RankHoldState[],
  reservedVersion: number,
): HoldOrder[] {
  const holder = ranks.find(({ heldStep }) => heldStep !== null);
  const step = holder?.heldStep ?? ranks.find(({ armed }) => armed !== null)?.armed?.step ?? null;
  if (step === null || !isGroupOpen(ranks)) {
    return [];
  }
  const isDue = ranks.some((rank) => rank.step >= step);
  const heldRank = isDue ? null : (holder?.rank ?? pausingRank);
  return unsettled.map(({ rank, epoch }) =>
    rank === heldRank
      ? { kind: HoldOrderKind.Hold, rank, epoch, step }
      : { kind: HoldOrderKind.Disarm, rank, epoch, version: reservedVersion },
  );
}
