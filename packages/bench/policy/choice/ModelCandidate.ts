import type { TargetCandidate } from "@clementinemux/gateway/TargetCandidate";
import type { TargetEstimate } from "@clementinemux/gateway/TargetEstimate";

/** A rank as a modelled gateway sees it. */
export interface ModelCandidate extends TargetCandidate, TargetEstimate {
  /** Remaining work in ms of the rank's time. */
  readonly leftMs: number;
}
