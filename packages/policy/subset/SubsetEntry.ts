/** Entry that needs a subset. The id must stay the same across restarts, so that the subset does too. */
export interface SubsetEntry {
  readonly id: string;
  readonly region: string;
}
