import type { MapDecision } from "./MapDecision";

/** Response to `decideMap`: the final decision for the version. */
export interface DecideMapResponse {
  readonly version: number;
  readonly decision: MapDecision;
}
