/** One change of a layer's placement that requires loading weights. */
export interface LayerChange {
  /** Expert that is moved off the hot rank, or gets a replica that takes part of its load there. */
  readonly expert: number;
  readonly hotRank: number;
  readonly coldRank: number;
  /** Expert whose slot on the cold rank is taken; null when a slot is free. */
  readonly displaced: number | null;
  /** Whether the displaced expert moves to the hot rank; otherwise its other replicas take over its load. */
  readonly isSwap: boolean;
  /** Reduction of the search potential per loaded expert. */
  readonly gain: number;
}
