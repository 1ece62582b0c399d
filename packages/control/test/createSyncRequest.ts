import type { SyncRequest } from "@clementinemux/registry/SyncRequest";

/** Report of a gateway that knows nothing yet. */
export function createSyncRequest(): SyncRequest {
  const location = { address: "e:1", failureDomain: "d-0" };
  const entry = { name: "e", incarnation: "1", ...location, isReady: true, inFlight: {} };
  return { entry, documentVersion: 0, registryState: "", leaving: [] };
}
