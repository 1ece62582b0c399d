import type { RankHoldState } from "./RankHoldState";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";

/** Expected state of a rank that has accepted an order, until its next report. */
export function applyAcceptedOrder(rank: RankHoldState, order: HoldOrder): RankHoldState {
  switch (order.kind) {
    case HoldOrderKind.Hold:
      return { ...rank, heldStep: order.step };
    case HoldOrderKind.Go:
      return { ...rank, heldStep: null };
    case HoldOrderKind.Arm:
      return { ...rank, armed: { version: order.version, step: order.step } };
    case HoldOrderKind.Disarm:
      return { ...rank, armed: null };
    case HoldOrderKind.Prepare:
      return rank;
  }
}
