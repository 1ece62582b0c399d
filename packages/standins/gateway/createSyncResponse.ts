import type { SyncResponse } from "@clementinemux/registry/SyncResponse";

interface SyncResponseOptions {
  readonly service: string;
  /** `host:port` of each target. */
  readonly addresses: readonly string[];
  readonly slots: number;
  readonly documentVersion: number;
  /** Bytes of the document; null if the gateway already has this version. */
  readonly document: Uint8Array | null;
  readonly ageMs: number | null;
}

/**
 * Creates the sync response of a stand-in coordinator, which has all targets of one service and no other
 * entry.
 */
export function createSyncResponse({
  service,
  addresses,
  slots,
  documentVersion,
  document,
  ageMs,
}: SyncResponseOptions): SyncResponse {
  return {
    ageMs,
    documentVersion,
    document,
    registryState: `1:${documentVersion}`,
    targets: addresses.map((address, index) => ({
      id: `t-${index}`,
      service,
      address,
      failureDomain: "a",
      slots,
      isDraining: false,
      isLeaving: false,
      isGone: false,
      bornMs: 1,
      sequence: 1,
    })),
    isComplete: true,
    inFlight: {},
    paces: {},
    liveEntries: 1,
    nearest: null,
    coordinators: [],
  };
}
