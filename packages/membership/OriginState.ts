/** What a relay knows of one origin. */
export interface OriginState {
  /** All changes up to this one have been applied or have been replaced by newer ones. */
  readonly sequence: number;
  /** Counter that the origin advances while it is alive. */
  readonly beat: number;
}
