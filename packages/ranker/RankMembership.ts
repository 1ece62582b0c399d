/** Place of a rank in its group. */
export interface RankMembership {
  readonly group: string;
  readonly rank: number;
}
