/** A group's need of the shared rate of the weight store. */
export interface GrantRequest {
  readonly group: string;
  /** Weights that the group still has to load for its next map. */
  readonly remainingBytes: number;
  /** Whether some weights of the map are loaded already. */
  readonly isHalfPrepared: boolean;
}
