/** Group of a rank and its number there. */
export interface RankMembership {
  readonly group: string;
  readonly rank: number;
}
