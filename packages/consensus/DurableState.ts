import type { LogEntry } from "./LogEntry";
import type { LogSnapshot } from "./LogSnapshot";

/** State that a replica reads from its disk when it starts. */
export interface DurableState {
  readonly replicaId: string;
  readonly term: number;
  readonly vote: string | null;
  readonly snapshot: LogSnapshot | null;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry[];
}
