import { OrderFault } from "./OrderFault";
import type { RankOrder } from "./RankOrder";

interface OrderReceiver {
  readonly incarnation: string;
  readonly epochSeen: number;
  readonly orderMaxAgeMs: number;
}

/**
 * Checks that an order comes from the current leader and was sent recently to this incarnation of the rank.
 * The stamp is needed in addition to the epoch: a restarted rank has lost the epochs that it has seen, and
 * its engine may ignore fencing tokens.
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
