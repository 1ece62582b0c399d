/** A model, adapter or version that runners can hold. */
export interface PlacementItem {
  readonly name: string;
  readonly sizeBytes: number;
  /** Demand in units of runners: 2.5 needs at least three copies. */
  readonly demandRunners: number;
  /** Base model that a runner needs for an adapter; null for a model. */
  readonly base: string | null;
}
