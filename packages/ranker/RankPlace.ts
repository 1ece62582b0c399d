/** Where a rank and the process beside it are reached. */
export interface RankPlace {
  /** `host:port` of the rank. */
  readonly address: string;
  /** Frame address of the process beside it. */
  readonly rankerAddress: string;
}
