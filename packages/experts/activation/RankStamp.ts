/** Proof of recent contact with one incarnation of a rank, echoed by orders. */
export interface RankStamp {
  readonly incarnation: string;
  /** Rank's own monotonic clock. */
  readonly atMs: number;
}
