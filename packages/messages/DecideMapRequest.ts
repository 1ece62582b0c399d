import type { MapDecision } from "./MapDecision";

/** Body of `decideMap`. The first decision for a version stands; a request with an old epoch is refused. */
export interface DecideMapRequest {
  readonly group: string;
  readonly version: number;
  readonly epoch: number;
  readonly decision: MapDecision;
}
