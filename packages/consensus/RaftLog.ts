import type { LogEntry } from "./LogEntry";
import type { LogSnapshot } from "./LogSnapshot";
import type { Membership } from "./Membership";

const emptyMembership: Membership = { voters: {}, learners: {} };

/** In-memory log: the last snapshot, the entries after it, and the membership that they define. */
export class RaftLog {
  #snapshot: LogSnapshot | null;
  #entries: LogEntry[];

  constructor(snapshot: LogSnapshot | null, entries: readonly LogEntry[]) {
    this.#snapshot = snapshot;
    this.#entries = [...entries];
  }

  get snapshot(): LogSnapshot | null {
    return this.#snapshot;
  }

  get firstIndex(): number {
    return (this.#snapshot?.index ?? 0) + 1;
  }

  get lastIndex(): number {
    return this.firstIndex + this.#entries.length - 1;
  }

  get lastTerm(): number {
    return this.getTerm(this.lastIndex) ?? 0;
  }

  /** Term of an entry; null when the entry is compacted or missing. */
  getTerm(index: number): number | null {
    if (index === this.firstIndex - 1) {
      return this.#snapshot?.term ?? 0;
    }
    return this.#entries[index - this.firstIndex]?.term ?? null;
  }

  /** Entries from `from` to `to`, inclusive. */
  slice(from: number, to: number): LogEntry[] {
    return this.#entries.slice(from - this.firstIndex, to - this.firstIndex + 1);
  }

  /** Entries from `from` on, up to the limits; at least one if there is any. */
  getBatch(from: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const batch: LogEntry[] = [];
    let sizeBytes = 0;
    for (const entry of this.#entries.slice(from - this.firstIndex, from - this.firstIndex + maxEntries)) {
      sizeBytes += entry.data?.length ?? 0;
      if (batch.length > 0 && sizeBytes > maxBytes) {
        break;
      }
      batch.push(entry);
    }
    return batch;
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Drops the entries from `index` on. */
  truncate(index: number): void {
    this.#entries.length = Math.max(0, index - this.firstIndex);
  }

  /**
   * Replaces the entries up to the snapshot's index. Later entries are kept if they continue the snapshot.
   */
  install(snapshot: LogSnapshot): void {
    const isContinued = this.getTerm(snapshot.index) === snapshot.term;
    this.#entries = isContinued ? this.slice(snapshot.index + 1, this.lastIndex) : [];
    this.#snapshot = snapshot;
  }

  /** Last membership up to `upTo`, and the index of its entry. Uncommitted entries count, too. */
  getMembership(upTo = this.lastIndex): { readonly index: number; readonly membership: Membership } {
    for (let at = upTo - this.firstIndex; at >= 0; at -= 1) {
      const entry = this.#entries[at];
      if (entry !== undefined && entry.membership !== null) {
        return { index: entry.index, membership: entry.membership };
      }
    }
    return { index: this.firstIndex - 1, membership: this.#snapshot?.membership ?? emptyMembership };
  }
}
