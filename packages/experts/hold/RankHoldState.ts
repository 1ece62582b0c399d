/** State of one rank of a group that pauses at a step barrier to activate a map. */
export interface RankHoldState {
  readonly rank: number;
  /** Increases with each recovery of the group; orders of another epoch are rejected. */
  readonly epoch: number;
  readonly isOpen: boolean;
  /** Forward pass that was started last. */
  readonly step: number;
  readonly mapVersion: number;
  /** Map whose weights are completely copied; null for none. */
  readonly preparedVersion: number | null;
  /** Map that the rank switches to when pass `step` starts; null for none. */
  readonly armed: { readonly version: number; readonly step: number } | null;
  /** Pass that the group does not start before an order to go; null when the group is not paused. */
  readonly heldStep: number | null;
}
