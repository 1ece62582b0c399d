/** Experts of one rank by layer set under a map. */
export interface RankExperts {
  readonly version: number;
  readonly experts: readonly (readonly number[])[];
}
