import type { MapDecision } from "./MapDecision";

/**
 * Body of `decideMap`. The first decision for a version stands; a version below the highest decided one that was
 * never decided is aborted. A request with an old epoch is refused.
 */
export interface DecideMapRequest {
  readonly group: string;
  readonly version: number;
  readonly epoch: number;
  readonly decision: MapDecision;
}
