/** Stamp of a rank's status, echoed by orders, so that the rank can check their age and its incarnation. */
export interface RankStamp {
  readonly incarnation: string;
  /** Time on the rank's own monotonic clock. */
  readonly atMs: number;
}
