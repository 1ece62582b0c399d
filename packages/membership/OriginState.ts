/** What a relay knows about one origin. */
export interface OriginState {
  /** All changes up to this one have been applied or have been replaced by newer ones. */
  readonly sequence: number;
  /** Heartbeat counter that the origin advances while it is alive. */
  readonly beat: number;
}
