/** Identity, term and vote of a replica; each record of the identity file holds one. */
export interface Identity {
  readonly replicaId: string;
  readonly term: number;
  readonly vote: string | null;
  /** Whether the replica took the place of one whose files were set aside; missing in files of older releases. */
  readonly isReplacement?: boolean;
}
