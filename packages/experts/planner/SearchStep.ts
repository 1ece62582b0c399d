import type { LayerMap } from "../LayerMap";

/** State of a layer after some steps of a search. */
export interface SearchStep {
  readonly layer: LayerMap;
  /** Time of the slowest rank, in units of load. */
  readonly peak: number;
  /** Weights that had to be loaded up to here, in experts. */
  readonly loadedCount: number;
}
