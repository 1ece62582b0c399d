import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { getHostingDigest } from "@clementinemux/experts/hold/getHostingDigest";

/** Fields of an order in log lines; a digest stands for the placement that is to be prepared. */
type OrderDescription = Exclude<HoldOrder, { kind: HoldOrderKind.Prepare }> | PrepareDescription;
type PrepareDescription = Omit<Extract<HoldOrder, { kind: HoldOrderKind.Prepare }>, "hosting"> & {
  readonly digest: string;
};

/** Describes an order in log lines: kind, rank and epoch, and where it has them version, step and digest of the map. */
export function describeOrder(order: HoldOrder): OrderDescription {
  if (order.kind !== HoldOrderKind.Prepare) {
    return order;
  }
  const { hosting, ...fields } = order;
  return { ...fields, digest: getHostingDigest(hosting) };
}
