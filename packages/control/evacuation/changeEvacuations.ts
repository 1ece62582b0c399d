import type { EvacuationChange } from "./EvacuationChange";
import type { EvacuationState } from "./EvacuationState";

/** Ended evacuations that are remembered. */
const maxEnded = 64;

/**
 * State after a change. The revision also rises if the set stays the same: commands of earlier calls that are still in transit
 * must not be applied after the change has been acknowledged.
 */
export function changeEvacuations(
  { revision, failureDomains, ended }: EvacuationState,
  { failureDomain, isEvacuated }: EvacuationChange,
): EvacuationState {
  const isOther = (name: string): boolean => name !== failureDomain;
  const evacuated = failureDomains.filter(isOther);
  const endedOthers = ended.filter(isOther);
  return {
    revision: revision + 1,
    failureDomains: isEvacuated ? [...evacuated, failureDomain].sort() : evacuated,
    ended: isEvacuated ? endedOthers : [...endedOthers, failureDomain].slice(-maxEnded),
  };
}
