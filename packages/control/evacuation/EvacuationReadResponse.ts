import type { EvacuationState } from "./EvacuationState";

/** Evacuation state that a change can be based on. */
export interface EvacuationReadResponse {
  readonly state: EvacuationState;
  /** Whether a coordinator that was asked has heard of the failure domain of the request. */
  readonly isKnown: boolean;
  /** Whether the coordinator that was asked first knows all targets, so that `isKnown` is final. */
  readonly isComplete: boolean;
}
