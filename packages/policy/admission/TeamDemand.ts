/** Demand of a team at this entry, as a share of the team's fleet-wide limit. */
export interface TeamDemand {
  readonly team: string;
  /** Covers admitted and rejected requests; may exceed 1. */
  readonly demand: number;
  /** Leased share that is active at this entry. */
  readonly held: number;
}
