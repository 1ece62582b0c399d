/** Response to `replicaInfo`: the replica of a log group that a process holds. */
export interface ReplicaInfo {
  readonly name: string;
  /** Null when the process holds no replica of the group. */
  readonly replicaId: string | null;
  /** Whether the replica has never voted and never stored a log entry. */
  readonly isUnused: boolean;
  /** Whether its files outlive the process. */
  readonly isDurable: boolean;
}
