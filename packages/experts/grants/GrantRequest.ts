/** Demand of a group for the shared bandwidth of the weight store. */
export interface GrantRequest {
  readonly group: string;
  /** Size of the weights that the group still has to load for its next map. */
  readonly remainingBytes: number;
  /** Whether some weights of the map are already loaded. */
  readonly isHalfPrepared: boolean;
}
