import type { WorkCandidate } from "@clementinemux/gateway/WorkCandidate";

/** A rank as a modelled gateway sees it. */
export interface ModelCandidate extends WorkCandidate {
  /** Remaining work in ms of the rank's time. */
  readonly leftMs: number;
}
