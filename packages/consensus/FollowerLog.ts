import type { LogSnapshot } from "./LogSnapshot";
import type { Outbox } from "./Outbox";
import type { RaftLog } from "./RaftLog";
import type { RaftMessage } from "./RaftMessage";
import type { RaftMessageKind } from "./RaftMessageKind";

type AppendRequest = Extract<RaftMessage, { kind: RaftMessageKind.Append }>;
type SnapshotRequest = Extract<RaftMessage, { kind: RaftMessageKind.Snapshot }>;

/** Stores the entries and snapshots that a follower receives from the leader. */
export class FollowerLog {
  readonly #log: RaftLog;
  readonly #outbox: Outbox;
  #chunks: Uint8Array[] = [];
  #snapshotKey = "";
  #receivedBytes = 0;

  constructor(log: RaftLog, outbox: Outbox) {
    this.#log = log;
    this.#outbox = outbox;
  }

  /**
   * Returns whether the entries were accepted, and the last index that matches (or may match) the leader's
   * log.
   */
  append(message: AppendRequest): { readonly success: boolean; readonly matchIndex: number } {
    const { prevIndex, prevTerm, entries } = message;
    const skipped = this.#log.firstIndex - 1;
    // Entries up to the snapshot are committed, so they match the log of every leader.
    if (prevIndex >= skipped && this.#log.getTerm(prevIndex) !== prevTerm) {
      return { success: false, matchIndex: this.#findPossibleMatch(prevIndex) };
    }
    for (const entry of entries) {
      if (entry.index <= skipped || this.#log.getTerm(entry.index) === entry.term) {
        continue;
      }
      if (entry.index <= this.#log.lastIndex) {
        this.#outbox.truncate(entry.index);
      }
      this.#log.append(entry);
      this.#outbox.markEntriesChanged(entry.index);
    }
    return { success: true, matchIndex: Math.max(prevIndex + entries.length, skipped) };
  }

  /** Adds one chunk of a snapshot. Returns the snapshot once it is complete. */
  addSnapshotChunk(message: SnapshotRequest): {
    readonly receivedBytes: number;
    readonly snapshot: LogSnapshot | null;
  } {
    const key = `${message.term}/${message.index}/${message.snapshotTerm}/${message.totalBytes}`;
    if (key !== this.#snapshotKey || message.offset === 0) {
      this.#reset(key);
    }
    if (message.offset !== this.#receivedBytes) {
      return { receivedBytes: this.#receivedBytes, snapshot: null };
    }
    this.#chunks.push(message.data);
    this.#receivedBytes += message.data.length;
    const receivedBytes = this.#receivedBytes;
    if (receivedBytes < message.totalBytes) {
      return { receivedBytes, snapshot: null };
    }
    const data = new Uint8Array(receivedBytes);
    let offset = 0;
    for (const chunk of this.#chunks) {
      data.set(chunk, offset);
      offset += chunk.length;
    }
    this.#reset("");
    const { index, snapshotTerm, membership } = message;
    return { receivedBytes, snapshot: { index, term: snapshotTerm, membership, data } };
  }

  #reset(key: string): void {
    this.#chunks = [];
    this.#snapshotKey = key;
    this.#receivedBytes = 0;
  }

  /** Skips all entries of the conflicting term, so that a long divergence needs few rounds. */
  #findPossibleMatch(prevIndex: number): number {
    if (prevIndex > this.#log.lastIndex) {
      return this.#log.lastIndex;
    }
    const conflictTerm = this.#log.getTerm(prevIndex);
    let index = prevIndex - 1;
    while (index >= this.#log.firstIndex && this.#log.getTerm(index) === conflictTerm) {
      index -= 1;
    }
    return index;
  }
}
