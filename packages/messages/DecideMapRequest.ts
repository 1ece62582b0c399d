import type { MapDecision } from "./MapDecision";

/**
 * Body of `decideMap`. The first decision for a version is final. An undecided version below the highest
 * decided one is aborted. A request with an old epoch is rejected.
 */
export interface DecideMapRequest {
  readonly group: string;
  readonly version: number;
  readonly epoch: number;
  readonly decision: MapDecision;
}
