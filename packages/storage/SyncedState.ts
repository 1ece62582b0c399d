/** What a replica has stored and synced; its files hold at least that, or they are damaged. */
export interface SyncedState {
  readonly replicaId: string;
  readonly term: number;
  readonly vote: string | null;
  /** Index of the last entry in the snapshot; 0 without one. */
  readonly snapshotIndex: number;
  /** File name of the log segment. */
  readonly segment: string;
  readonly segmentBytes: number;
}
