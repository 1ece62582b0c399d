/** Answer to `replicaInfo`: which replica of a log group a process holds. */
export interface ReplicaInfo {
  readonly name: string;
  /** Null when the process holds no replica of the group. */
  readonly replicaId: string | null;
  /** Whether the replica has never voted and never stored an entry. */
  readonly isUnused: boolean;
  /** Whether its files outlast the process. */
  readonly isDurable: boolean;
}
