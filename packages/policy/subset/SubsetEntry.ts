/** Entry that needs a subset. The id must outlive a restart, so that the subset does too. */
export interface SubsetEntry {
  readonly id: string;
  readonly region: string;
}
