import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

/** A target that is ready, with the given fields in place of usual ones. */
export function createTargetRecord(fields: Partial<TargetRecord> = {}): TargetRecord {
  const place = { id: "t-1", service: "s", address: "h:1", failureDomain: "d", slots: 1 };
  const state = { isDraining: false, isLeaving: false, isGone: false };
  return { ...place, ...state, bornMs: 1, sequence: 1, ...fields };
}
