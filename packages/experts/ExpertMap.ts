import type { LayerMap } from "./LayerMap";

/** Expert map of a rank group. */
export interface ExpertMap {
  readonly version: number;
  readonly layers: readonly LayerMap[];
}
