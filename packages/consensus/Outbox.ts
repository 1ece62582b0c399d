import type { LogSnapshot } from "./LogSnapshot";
import type { RaftAction } from "./RaftAction";
import { RaftActionKind } from "./RaftActionKind";
import type { RaftLog } from "./RaftLog";
import type { RaftMessage } from "./RaftMessage";

interface PendingMessage {
  readonly persistId: number;
  readonly to: string;
  readonly message: RaftMessage;
}

/**
 * Collects actions, merges changes into one persist, and delays messages until the state that they report is
 * synced.
 */
export class Outbox {
  readonly #log: RaftLog;
  #actions: RaftAction[] = [];
  #pendingMessages: PendingMessage[] = [];
  #openPersists: { readonly id: number; lastIndex: number }[] = [];
  #lastPersistId = 0;
  #syncedPersistId = 0;
  #isVoteDirty = false;
  #votePersistId = 0;
  #firstDirtyIndex: number | null = null;
  #snapshot: LogSnapshot | null = null;
  #durableIndex: number;

  constructor(log: RaftLog) {
    this.#log = log;
    this.#durableIndex = log.lastIndex;
  }

  /** Last entry known to be synced on this replica. */
  get durableIndex(): number {
    return this.#durableIndex;
  }

  /** Whether the current term or vote is not synced yet. */
  get isVotePending(): boolean {
    return this.#isVoteDirty || this.#votePersistId > this.#syncedPersistId;
  }

  push(action: RaftAction): void {
    this.#actions.push(action);
  }

  markVoteChanged(): void {
    this.#isVoteDirty = true;
  }

  markEntriesChanged(from: number): void {
    this.#firstDirtyIndex = Math.min(from, this.#firstDirtyIndex ?? from);
  }

  /** Drops entries from `index` on. Pending syncs no longer count for them. */
  truncate(index: number): void {
    this.#log.truncate(index);
    this.#limitDurableIndex(index - 1);
    this.markEntriesChanged(index);
  }

  installSnapshot(snapshot: LogSnapshot): void {
    const isContinued = this.#log.getTerm(snapshot.index) === snapshot.term;
    this.#log.install(snapshot);
    this.#snapshot = snapshot;
    if (!isContinued) {
      this.#limitDurableIndex(0);
      this.#firstDirtyIndex = null;
    }
  }

  send(to: string, message: RaftMessage): void {
    this.#actions.push({ kind: RaftActionKind.Send, to, message });
  }

  /** Sends a message that depends on stored state, once that state is synced. */
  sendAfterPersist(to: string, message: RaftMessage): void {
    const persistId = this.#isDirty() ? this.#lastPersistId + 1 : this.#lastPersistId;
    if (persistId <= this.#syncedPersistId) {
      this.send(to, message);
    } else {
      this.#pendingMessages.push({ persistId, to, message });
    }
  }

  takeActions(term: number, vote: string | null): RaftAction[] {
    if (this.#isDirty()) {
      this.#actions.unshift(...this.#createPersist(term, vote));
    }
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  /**
   * Marks a persist as synced and sends the messages that depended on it. Returns those to this replica
   * itself.
   */
  markPersisted(id: number, selfId: string): RaftMessage[] {
    this.#syncedPersistId = Math.max(this.#syncedPersistId, id);
    for (const { id: openId, lastIndex } of this.#openPersists) {
      if (openId <= id) {
        this.#durableIndex = Math.max(this.#durableIndex, lastIndex);
      }
    }
    this.#openPersists = this.#openPersists.filter((persist) => persist.id > id);
    const released = this.#pendingMessages.filter(({ persistId }) => persistId <= id);
    this.#pendingMessages = this.#pendingMessages.filter(({ persistId }) => persistId > id);
    for (const { to, message } of released) {
      if (to !== selfId) {
        this.send(to, message);
      }
    }
    return released.filter(({ to }) => to === selfId).map(({ message }) => message);
  }

  #isDirty(): boolean {
    return this.#isVoteDirty || this.#firstDirtyIndex !== null || this.#snapshot !== null;
  }

  #createPersist(term: number, vote: string | null): RaftAction[] {
    this.#lastPersistId += 1;
    if (this.#isVoteDirty) {
      this.#votePersistId = this.#lastPersistId;
    }
    const { lastIndex, firstIndex } = this.#log;
    // A snapshot starts a new log file, so the remaining entries are written again.
    const from = this.#snapshot === null ? this.#firstDirtyIndex : firstIndex;
    const action: RaftAction = {
      kind: RaftActionKind.Persist,
      id: this.#lastPersistId,
      vote: this.#isVoteDirty ? { term, vote } : null,
      snapshot: this.#snapshot,
      entries: from === null ? [] : this.#log.slice(Math.max(from, firstIndex), lastIndex),
    };
    this.#openPersists.push({ id: action.id, lastIndex });
    this.#isVoteDirty = false;
    this.#firstDirtyIndex = null;
    this.#snapshot = null;
    return [action];
  }

  #limitDurableIndex(index: number): void {
    this.#durableIndex = Math.min(this.#durableIndex, index);
    for (const persist of this.#openPersists) {
      persist.lastIndex = Math.min(persist.lastIndex, index);
    }
  }
}
