/** A target's end as a coordinator reports it to the leader. */
export interface EndReport {
  readonly id: string;
  /** Unix time of the incarnation's start; null if the reporting coordinator does not know the target. */
  readonly bornMs: number | null;
  readonly isGone: boolean;
  readonly sequence: number;
}
