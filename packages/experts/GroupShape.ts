/** Fixed properties of a rank group. */
export interface GroupShape {
  readonly rankCount: number;
  readonly layerCount: number;
  /** Experts per layer. */
  readonly expertCount: number;
  /** Experts that a rank can hold per layer. */
  readonly slotsPerRank: number;
  /** Size of the weights of one expert of one layer. */
  readonly expertBytes: number;
  /** Failure domain of each rank. */
  readonly failureDomains: readonly string[];
}
