/** One change of a layer's placement that loads weights. */
export interface LayerChange {
  /** Expert that leaves or is relieved on the hot rank. */
  readonly expert: number;
  readonly hotRank: number;
  readonly coldRank: number;
  /** Expert whose slot on the cold rank is taken; null when a slot is free. */
  readonly displaced: number | null;
  /** Whether the displaced expert moves to the hot rank; otherwise one of its other replicas carries on. */
  readonly isSwap: boolean;
  /** Reduction of the search potential per loaded expert. */
  readonly gain: number;
}
