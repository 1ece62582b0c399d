import type { RankHosting } from "./RankHosting";

/** Map that is to be activated. */
export interface DesiredMap {
  readonly version: number;
  readonly hosting: RankHosting;
  /** Epoch of the group for which the map was planned; it is invalid in any other. */
  readonly epoch: number;
}
