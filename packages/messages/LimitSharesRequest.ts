/** Demand and held share are in units of `shareParts`; `moved` is 1 when the team has changed its relay. */
type TeamEntry = readonly [team: string, demandParts: number, heldParts: number, moved: 0 | 1];

/**
 * Body of `limitShares`: what an entry needs of its active teams' limits. An array, since field names would be a
 * third of the bytes: an entry sends one to each relay a second.
 *
 * `holder` is unique for a start of an entry: a restarted entry is a new holder. `relayStart` is the start of the
 * relay that the held shares and `ackedSequence` (latest response applied) come from; empty before its answer.
 */
export type LimitSharesRequest = readonly [
  holder: string,
  relayStart: string,
  ackedSequence: number,
  teams: readonly TeamEntry[],
];
