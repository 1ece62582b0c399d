/** A model, adapter or version that runners can load. */
export interface PlacementItem {
  readonly name: string;
  readonly sizeBytes: number;
  /** Demand as a number of runners; for example, 2.5 needs at least three copies. */
  readonly demandRunners: number;
  /** Base model that a runner needs for an adapter; null for a model. */
  readonly base: string | null;
}
