import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { getHostingDigest } from "@clementinemux/experts/hold/getHostingDigest";

/** Fields of an order in log lines; the placement of a prepare order is replaced by its digest. */
type OrderDescription = Exclude<HoldOrder, { kind: HoldOrderKind.Prepare }> | PrepareDescription;
type PrepareDescription = Omit<Extract<HoldOrder, { kind: HoldOrderKind.Prepare }>, "hosting"> & {
  readonly digest: string;
};

/**
 * Returns the log fields of an order: kind, rank and epoch, and version, step and map digest if it has them.
 */
export function describeOrder(order: HoldOrder): OrderDescription {
  if (order.kind !== HoldOrderKind.Prepare) {
    return order;
  }
  const { hosting, ...fields } = order;
  return { ...fields, digest: getHostingDigest(hosting) };
}
