/** Figures of services whose engines form rank groups. */
export interface ExpertFigures {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Experts that a rank can hold in one layer set. */
  readonly placements: number;
  /** New experts that one order may bring to a rank in one layer set. */
  readonly spare: number;
  readonly expertMb: number;
  /** Share of the work for tokens that is spent in experts. */
  readonly expertShare: number;
  readonly linkMbps: number;
  /** Time in which a broken group forms again. */
  readonly formMs: number;
}
