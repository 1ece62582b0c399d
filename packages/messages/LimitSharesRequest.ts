/** Team, demand and held share, both in millionths of the team's limit, and 1 when the team changed its relay. */
type TeamEntry = readonly [team: string, demandPpm: number, heldPpm: number, moved: 0 | 1];

/** Body of `limitShares`: what an entry needs of its active teams' limits. */
export interface LimitSharesRequest {
  /** Entry and incarnation: a restarted entry is a new holder. */
  readonly holder: string;
  /** Start of the relay that `ackedSequence` and the held shares come from; empty before its first answer. */
  readonly relayStart: string;
  /** Latest response that the entry has applied. */
  readonly ackedSequence: number;
  readonly teams: readonly TeamEntry[];
}
