/** Result of a proposal that was committed or is outdated. */
export interface EvacuationProposalResult {
  /** False if the state has changed since the sender read it; then nothing was changed. */
  readonly isApplied: boolean;
}
