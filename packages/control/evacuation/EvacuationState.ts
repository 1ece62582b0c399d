import type { EvacuatedDomains } from "@clementinemux/registry/EvacuatedDomains";

/** Replicated state of the evacuations: part of the `routes` log and of its snapshots. */
export interface EvacuationState extends EvacuatedDomains {
  /**
   * Failure domains whose evacuation was ended last, the latest at the end. They count as known, so that a repeated call is
   * acknowledged again after the last member of the failure domain is forgotten.
   */
  readonly ended: readonly string[];
}
