/** Expert parameters of a service whose engines form rank groups. */
export interface ExpertParameters {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Most experts that a rank can host in one layer set. */
  readonly placements: number;
  /** Most experts that one order may add to a rank in one layer set. */
  readonly spare: number;
  readonly expertMb: number;
  /** Share of the token processing time that is spent in experts. */
  readonly expertShare: number;
  readonly linkMbps: number;
  /** Time that a failed group takes to recover. */
  readonly formMs: number;
}
