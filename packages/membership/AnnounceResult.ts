/** Response to `announce`, `announceEntry` and `heartbeat`. */
export interface AnnounceResult {
  readonly accepted: boolean;
  /** A newer process of the same name is known; the sender must reject requests. */
  readonly superseded: boolean;
  /** The relay has no live record of the sender, which should announce itself. */
  readonly unknown: boolean;
}
