/** One change of a layer set's placement. */
export interface EvenChange {
  /** Expert that gets a replica on the cold rank. */
  readonly expert: number;
  readonly hotRank: number;
  readonly coldRank: number;
  /** Expert that leaves the cold rank; null when a place is free. */
  readonly displaced: number | null;
  /** Whether the displaced expert takes the place of `expert` on the hot rank. */
  readonly isSwap: boolean;
}
