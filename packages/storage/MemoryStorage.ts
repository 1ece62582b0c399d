import { randomUUID } from "node:crypto";
import type { DurableState } from "@clementinemux/consensus/DurableState";
import type { PersistRequest } from "./PersistRequest";
import type { ReplicaStorage } from "./ReplicaStorage";

/**
 * Storage of a replica without a disk. The Raft core holds the log, and nothing survives the process, so nothing is
 * written: each start is a new replica. Such a replica must not become a voter.
 */
export class MemoryStorage implements ReplicaStorage {
  readonly state: DurableState = {
    replicaId: randomUUID(),
    term: 0,
    vote: null,
    snapshot: null,
    entries: [],
  };
  readonly isFull = false;
  readonly isReplacement = false;

  persist(_request: PersistRequest, onStored: () => void): void {
    setImmediate(onStored);
  }
}
