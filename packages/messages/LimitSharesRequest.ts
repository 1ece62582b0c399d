/**
 * Demand of a team and the share of its limit that the entry leases, both in parts of the limit
 * (`partsPerLimit`). `moved` is 1 when another relay has become responsible for the team.
 */
type TeamDemand = readonly [team: string, demandParts: number, leasedParts: number, moved: 0 | 1];

/**
 * Body of `limitShares`: what an entry needs of the limits of its active teams. It is an array because field
 * names would take a third of the bytes, and an entry sends one to each relay every second.
 *
 * `holder` identifies one start of an entry: a restarted entry is a new holder. `ackedSequence` is the latest
 * response that the entry has applied. `relayStart` identifies the start of the relay that sent this response
 * and granted the leased shares; it is empty before the first response.
 */
export type LimitSharesRequest = readonly [
  holder: string,
  relayStart: string,
  ackedSequence: number,
  teams: readonly TeamDemand[],
];
