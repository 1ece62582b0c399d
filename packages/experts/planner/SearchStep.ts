import type { LayerMap } from "../LayerMap";

/** Intermediate result of a layer's search. */
export interface SearchStep {
  readonly layer: LayerMap;
  /** Time of the slowest rank, in units of load. */
  readonly peak: number;
  /** Experts whose weights have to be loaded for this placement. */
  readonly loadedCount: number;
}
