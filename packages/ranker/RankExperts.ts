/** Experts of one rank under a map, by layer set. */
export interface RankExperts {
  readonly version: number;
  readonly experts: readonly (readonly number[])[];
}
