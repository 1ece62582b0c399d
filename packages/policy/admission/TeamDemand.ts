/** What the callers of a team asked of this entry, as a part of the team's fleet-wide limit. */
export interface TeamDemand {
  readonly team: string;
  /** Admitted and refused; may exceed 1. */
  readonly demand: number;
  /** Leased share in force. */
  readonly held: number;
}
