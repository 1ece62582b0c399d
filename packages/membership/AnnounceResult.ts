/** Answer to `announce`, `announceEntry` and `heartbeat`. */
export interface AnnounceResult {
  readonly accepted: boolean;
  /** A newer process of the same name is known; the sender must refuse work. */
  readonly superseded: boolean;
  /** The relay does not hold the sender's record; the sender should announce itself. */
  readonly unknown: boolean;
}
