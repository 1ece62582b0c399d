/** State of a coordinator for operators. */
export interface CoordinatorStatus {
  readonly role: string | null;
  readonly term: number | null;
  readonly isVoter: boolean;
  readonly voters: number;
  readonly commitIndex: number | null;
  readonly appliedIndex: number | null;
  readonly documentVersion: number;
  /** Age of the knowledge that no newer document exists; null when there is none. */
  readonly ageMs: number | null;
  readonly targets: number;
  readonly entries: number;
}
