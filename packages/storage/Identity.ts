/** Identity, term and vote of a replica; each record of the identity file holds one. */
export interface Identity {
  readonly replicaId: string;
  readonly term: number;
  readonly vote: string | null;
}
