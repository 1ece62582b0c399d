import type { RankHoldState } from "./RankHoldState";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";

/**
 * Whether an order that a rank carries out late cannot make its map differ from that of the other ranks. A
 * late hold pauses the group until the leader inspects it again, but changes no map.
 */
export function isHarmlessIfLate(order: HoldOrder, rank: RankHoldState, reservedVersion: number): boolean {
  switch (order.kind) {
    case HoldOrderKind.Hold:
    case HoldOrderKind.Prepare:
      return true;
    case HoldOrderKind.Arm:
      return rank.armed?.version === order.version && rank.armed.step === order.step;
    case HoldOrderKind.Disarm:
      return order.version === reservedVersion;
    case HoldOrderKind.Go:
      return rank.heldStep !== order.step;
  }
}
