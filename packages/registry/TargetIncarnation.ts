/** One incarnation of a target: the same id with a later start time is another incarnation. */
export interface TargetIncarnation {
  readonly id: string;
  /** Unix time of the target's start. */
  readonly bornMs: number;
}
