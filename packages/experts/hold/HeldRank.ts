/** State of one rank of a group that activates maps by hold and go. */
export interface HeldRank {
  readonly rank: number;
  /** Increases each time the group forms; orders of another epoch are refused. */
  readonly epoch: number;
  readonly isOpen: boolean;
  /** Last pass that was begun. */
  readonly step: number;
  readonly mapVersion: number;
  /** Map whose copies are complete; null for none. */
  readonly preparedVersion: number | null;
  /** Map that the rank switches to as pass `step` begins; null for none. */
  readonly armed: { readonly version: number; readonly step: number } | null;
  /** Pass that the group does not begin until it is let go; null for none. */
  readonly heldStep: number | null;
}
