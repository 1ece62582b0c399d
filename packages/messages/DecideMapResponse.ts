import type { MapDecision } from "./MapDecision";

/** Answer to `decideMap`: the decision that stands. */
export interface DecideMapResponse {
  readonly version: number;
  readonly decision: MapDecision;
}
