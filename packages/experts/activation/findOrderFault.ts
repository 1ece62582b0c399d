import { OrderFault } from "./OrderFault";
import type { RankOrder } from "./RankOrder";

interface OrderReceiver {
  readonly incarnation: string;
  readonly epochSeen: number;
  readonly orderMaxAgeMs: number;
}

/**
 * Checks that an order comes from the present lead and was sent lately to this start of the rank. The stamp
 * covers what the epoch cannot: a restarted rank has forgotten the epochs it saw, and the engine behind it may
 * ignore fencing numbers.
 */
export function findOrderFault(receiver: OrderReceiver, order: RankOrder, nowMs: number): OrderFault | null {
  if (order.stamp.incarnation !== receiver.incarnation) {
    return OrderFault.OtherIncarnation;
  }
  if (nowMs - order.stamp.atMs > receiver.orderMaxAgeMs) {
    return OrderFault.StampTooOld;
  }
  return order.epoch < receiver.epochSeen ? OrderFault.OldEpoch : null;
}
