/** One change of a layer set's placement that takes load off its most loaded rank. */
export interface BalancedChange {
  readonly expert: number;
  readonly hotRank: number;
  /** Rank that gets a replica of the expert; null when the hot rank only drops its replica. */
  readonly coldRank: number | null;
  /** Expert that is removed from the cold rank; null when a slot is free. */
  readonly displaced: number | null;
  /** Whether the expert is removed from the hot rank. */
  readonly isLeaving: boolean;
  /** Whether the displaced expert takes the freed slot on the hot rank. */
  readonly isSwap: boolean;
}
