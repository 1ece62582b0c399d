/** Confirmation of the leader to a follower, sent only while the leader's lease is valid. */
export interface DocumentConfirmation {
  /** Index of the last entry that was committed when the query was received. */
  readonly commitIndex: number;
}
