/** One life of a target: the same id with a later start is another one. */
export interface TargetLife {
  readonly id: string;
  /** Unix time of the target's start. */
  readonly bornMs: number;
}
