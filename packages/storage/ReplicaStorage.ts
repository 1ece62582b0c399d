import type { DurableState } from "@clementinemux/consensus/DurableState";
import type { PersistRequest } from "./PersistRequest";

/** Storage of one replica of a log group. */
export interface ReplicaStorage {
  /** State with which the replica starts. */
  readonly state: DurableState;
  /** Whether the storage is full; no request is acknowledged until it has space again. */
  readonly isFull: boolean;
  /** Whether the replica took the place of one whose files were set aside. It must never create a group. */
  readonly isReplacement: boolean;
  /** Stores a request and calls `onStored` in a later turn of the event loop. Requests are stored in order. */
  persist(request: PersistRequest, onStored: () => void): void;
}
