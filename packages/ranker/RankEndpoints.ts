/** Addresses of a rank and its ranker. */
export interface RankEndpoints {
  /** `host:port` of the rank itself. */
  readonly address: string;
  /** Frame address (`host:port`) of the ranker. */
  readonly rankerAddress: string;
}
