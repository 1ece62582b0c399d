import { msPerReportedWork } from "@clementinemux/registry/msPerReportedWork";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";

/** Remaining work by target, in ms; null if the coordinator does not know it. */
export function readRemainingMs({
  inFlight,
  remainingCs,
}: Pick<SyncResponse, "inFlight" | "remainingCs">): ReadonlyMap<string, number> | null {
  const ids = Object.keys(inFlight);
  if (remainingCs?.length !== ids.length) {
    return null;
  }
  return new Map(ids.map((id, index) => [id, (remainingCs[index] ?? 0) * msPerReportedWork]));
}
