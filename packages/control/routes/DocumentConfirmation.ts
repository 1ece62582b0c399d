/** What the leader confirms to a follower while its lease runs. */
export interface DocumentConfirmation {
  /** Every entry up to this one was committed when the question arrived. */
  readonly commitIndex: number;
}
