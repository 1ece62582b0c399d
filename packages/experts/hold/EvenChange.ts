/** One change of a layer set's placement, which relieves its hottest rank. */
export interface EvenChange {
  readonly expert: number;
  readonly hotRank: number;
  /** Rank that gets a replica of the expert; null when the hot rank only drops its own. */
  readonly coldRank: number | null;
  /** Expert that leaves the cold rank; null when a place is free. */
  readonly displaced: number | null;
  /** Whether the expert leaves the hot rank. */
  readonly isLeaving: boolean;
  /** Whether the displaced expert takes its place on the hot rank. */
  readonly isSwap: boolean;
}
