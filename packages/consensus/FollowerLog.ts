import { PartCollector } from "@clementinemux/common/PartCollector";
import type { LogSnapshot } from "./LogSnapshot";
import type { Outbox } from "./Outbox";
import type { RaftLog } from "./RaftLog";
import type { RaftMessage } from "./RaftMessage";
import type { RaftMessageKind } from "./RaftMessageKind";

type AppendRequest = Extract<RaftMessage, { kind: RaftMessageKind.Append }>;
type AppendResult = Pick<
  Extract<RaftMessage, { kind: RaftMessageKind.AppendReply }>,
  "success" | "matchIndex" | "partial"
>;
type Appended = Pick<AppendRequest, "prevIndex" | "prevTerm" | "entries">;
type EntryPartRequest = Extract<RaftMessage, { kind: RaftMessageKind.EntryPart }>;
type SnapshotRequest = Extract<RaftMessage, { kind: RaftMessageKind.Snapshot }>;

/** Stores the entries and snapshots that a follower receives from the leader. */
export class FollowerLog {
  readonly #log: RaftLog;
  readonly #outbox: Outbox;
  readonly #entryParts = new PartCollector();
  readonly #snapshotParts = new PartCollector();

  constructor(log: RaftLog, outbox: Outbox) {
    this.#log = log;
    this.#outbox = outbox;
  }

  /** Appends entries that follow an entry of this log; other entries in their place are dropped. */
  append({ prevIndex, prevTerm, entries }: Appended): AppendResult {
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

  /** Adds a part of an entry, and appends the entry once it is complete. */
  addEntryPart(message: EntryPartRequest): AppendResult {
    const { prevIndex, prevTerm, entry, offset, totalBytes, data } = message;
    const matched = this.append({ prevIndex, prevTerm, entries: [] });
    if (!matched.success) {
      return matched;
    }
    if (this.#log.getTerm(entry.index) === entry.term || entry.index < this.#log.firstIndex) {
      return { ...matched, matchIndex: Math.max(entry.index, matched.matchIndex) };
    }
    const key = `${message.term}/${entry.index}/${entry.term}/${totalBytes}`;
    const complete = this.#entryParts.add(key, offset, totalBytes, data);
    if (complete === null) {
      const { receivedBytes } = this.#entryParts;
      return { ...matched, partial: { index: entry.index, receivedBytes } };
    }
    return this.append({ prevIndex, prevTerm, entries: [{ ...entry, data: complete }] });
  }

  /** Adds one chunk of a snapshot. Returns the snapshot once it is complete. */
  addSnapshotChunk(message: SnapshotRequest): {
    readonly receivedBytes: number;
    readonly snapshot: LogSnapshot | null;
  } {
    const { index, snapshotTerm, membership, offset, totalBytes } = message;
    const key = `${message.term}/${index}/${snapshotTerm}/${totalBytes}`;
    const data = this.#snapshotParts.add(key, offset, totalBytes, message.data);
    return data === null
      ? { receivedBytes: this.#snapshotParts.receivedBytes, snapshot: null }
      : { receivedBytes: totalBytes, snapshot: { index, term: snapshotTerm, membership, data } };
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
