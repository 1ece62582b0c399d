import type { LogSnapshot } from "./LogSnapshot";
import type { Outbox } from "./Outbox";
import type { Progress } from "./Progress";
import type { RaftLog } from "./RaftLog";
import type { RaftMessage } from "./RaftMessage";
import { RaftMessageKind } from "./RaftMessageKind";
import type { RaftOptions } from "./RaftOptions";

type AppendRequest = Extract<RaftMessage, { kind: RaftMessageKind.Append }>;
type Round = Pick<AppendRequest, "term" | "round" | "sentAtMs">;
type AppendHead = Omit<AppendRequest, "kind" | "entries">;
type AppendReply = Extract<RaftMessage, { kind: RaftMessageKind.AppendReply }>;
type SnapshotReply = Extract<RaftMessage, { kind: RaftMessageKind.SnapshotReply }>;

// Rounds without a reply are sent again after this many heartbeat intervals.
const resendAfterHeartbeats = 3;

/** Replicates a leader's log to the other members and tracks their progress. Used for one term only. */
export class Replication {
  readonly #log: RaftLog;
  readonly #outbox: Outbox;
  readonly #options: RaftOptions;
  readonly #term: number;
  readonly #progress = new Map<string, Progress>();
  #lastRound = 0;

  constructor(log: RaftLog, outbox: Outbox, options: RaftOptions, term: number) {
    this.#log = log;
    this.#outbox = outbox;
    this.#options = options;
    this.#term = term;
  }

  getMatchIndex(replicaId: string): number {
    return this.#progress.get(replicaId)?.matchIndex ?? 0;
  }

  getSilenceMs(replicaId: string, nowMs: number): number | null {
    const progress = this.#progress.get(replicaId);
    return progress === undefined ? null : nowMs - progress.lastContactMs;
  }

  /** Applies a changed membership. A new member counts as contacted just now, so that it has time to reply. */
  setMembers(ids: readonly string[], nowMs: number): void {
    for (const id of [...this.#progress.keys()].filter((known) => !ids.includes(known))) {
      this.#progress.delete(id);
    }
    for (const id of ids) {
      if (!this.#progress.has(id)) {
        this.#progress.set(id, {
          // Includes the last entry. Without it, a new leader would not commit its term's first entry until a
          // proposal.
          nextIndex: this.#log.lastIndex,
          matchIndex: 0,
          ackedSentAtMs: -Infinity,
          lastContactMs: nowMs,
          unansweredRound: 0,
          unansweredSinceMs: 0,
          snapshotOffset: 0,
          entryOffset: 0,
        });
      }
    }
  }

  /** Latest send time that a majority of the voters has acknowledged. */
  getMajorityAckedMs(voters: readonly string[], selfId: string, nowMs: number): number {
    const times = voters.map((id) =>
      id === selfId ? nowMs : (this.#progress.get(id)?.ackedSentAtMs ?? -Infinity),
    );
    return times.sort((left, right) => right - left)[Math.floor(voters.length / 2)] ?? -Infinity;
  }

  /** Highest index that a majority of the voters has stored. */
  getMajorityIndex(voters: readonly string[], selfId: string): number {
    const matches = voters.map((id) => (id === selfId ? this.#outbox.durableIndex : this.getMatchIndex(id)));
    return matches.sort((left, right) => right - left)[Math.floor(voters.length / 2)] ?? 0;
  }

  hasQuorum(voters: readonly string[], selfId: string, nowMs: number): boolean {
    const live = voters.filter((id) => {
      const lastContactMs = this.#progress.get(id)?.lastContactMs ?? -Infinity;
      return id === selfId || nowMs - lastContactMs < this.#options.electionTimeoutMs;
    });
    return live.length * 2 > voters.length;
  }

  heartbeat(commitIndex: number, nowMs: number): void {
    for (const [id, progress] of this.#progress) {
      if (nowMs - progress.unansweredSinceMs > resendAfterHeartbeats * this.#options.heartbeatMs) {
        progress.unansweredRound = 0;
      }
      if (progress.unansweredRound === 0 && progress.nextIndex <= this.#log.lastIndex) {
        this.#sendNext(id, progress, commitIndex, nowMs);
      } else {
        this.#sendEmpty(id, progress, commitIndex, nowMs);
      }
    }
  }

  replicate(commitIndex: number, nowMs: number): void {
    for (const [id, progress] of this.#progress) {
      this.#sendNextIfIdle(id, progress, commitIndex, nowMs);
    }
  }

  onAppendReply(from: string, reply: AppendReply, commitIndex: number, nowMs: number): void {
    const progress = this.#recordReply(from, reply, nowMs);
    if (progress === null) {
      return;
    }
    if (reply.success) {
      this.#advance(progress, reply.matchIndex);
      if (reply.partial?.index === progress.nextIndex) {
        progress.entryOffset = reply.partial.receivedBytes;
      }
    } else {
      progress.nextIndex = Math.max(
        progress.matchIndex + 1,
        Math.min(progress.nextIndex, reply.matchIndex + 1),
      );
      progress.entryOffset = 0;
      progress.unansweredRound = 0;
    }
    this.#sendNextIfIdle(from, progress, commitIndex, nowMs);
  }

  onSnapshotReply(from: string, reply: SnapshotReply, commitIndex: number, nowMs: number): void {
    const progress = this.#recordReply(from, reply, nowMs);
    if (progress === null) {
      return;
    }
    if (reply.installed) {
      this.#advance(progress, reply.index);
      progress.snapshotOffset = 0;
    } else {
      progress.snapshotOffset = reply.index === this.#log.snapshot?.index ? reply.receivedBytes : 0;
    }
    this.#sendNextIfIdle(from, progress, commitIndex, nowMs);
  }

  /** Notes that a member has stored the log up to an entry. */
  #advance(progress: Progress, matchIndex: number): void {
    progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
    if (progress.matchIndex >= progress.nextIndex) {
      progress.nextIndex = progress.matchIndex + 1;
      progress.entryOffset = 0;
    }
  }

  #recordReply(from: string, reply: AppendReply | SnapshotReply, nowMs: number): Progress | null {
    const progress = this.#progress.get(from);
    if (progress === undefined || reply.term !== this.#term) {
      return null;
    }
    progress.lastContactMs = nowMs;
    progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, reply.sentAtMs);
    if (reply.round === progress.unansweredRound) {
      progress.unansweredRound = 0;
    }
    return progress;
  }

  #sendNextIfIdle(id: string, progress: Progress, commitIndex: number, nowMs: number): void {
    if (progress.unansweredRound === 0 && progress.nextIndex <= this.#log.lastIndex) {
      this.#sendNext(id, progress, commitIndex, nowMs);
    }
  }

  #startRound(progress: Progress, nowMs: number): number {
    this.#lastRound += 1;
    progress.unansweredRound = this.#lastRound;
    progress.unansweredSinceMs = nowMs;
    return this.#lastRound;
  }

  #sendNext(id: string, progress: Progress, commitIndex: number, nowMs: number): void {
    const { snapshot } = this.#log;
    const round = { term: this.#term, round: this.#startRound(progress, nowMs), sentAtMs: nowMs };
    const prevIndex = progress.nextIndex - 1;
    const prevTerm = this.#log.getTerm(prevIndex);
    if (prevTerm === null && snapshot !== null) {
      this.#outbox.send(id, this.#createSnapshotPart(snapshot, progress, round));
    } else {
      const head = { ...round, prevIndex, prevTerm: prevTerm ?? 0, commitIndex };
      this.#outbox.send(id, this.#createAppend(progress, head));
    }
  }

  #createSnapshotPart(
    { index, term, membership, data }: LogSnapshot,
    { snapshotOffset }: Progress,
    round: Round,
  ): RaftMessage {
    const offset = Math.min(snapshotOffset, data.length);
    return {
      kind: RaftMessageKind.Snapshot,
      ...round,
      index,
      snapshotTerm: term,
      membership,
      offset,
      totalBytes: data.length,
      data: data.subarray(offset, offset + this.#options.maxPartBytes),
    };
  }

  /** The next entries, or a part of the next one if that is larger than a batch. */
  #createAppend({ nextIndex, entryOffset }: Progress, head: AppendHead): RaftMessage {
    const { maxBatchEntries, maxBatchBytes, maxPartBytes } = this.#options;
    const entries = this.#log.getBatch(nextIndex, maxBatchEntries, maxBatchBytes);
    const [first] = entries;
    if (first === undefined || first.data === null || first.data.length <= maxBatchBytes) {
      return { kind: RaftMessageKind.Append, ...head, entries };
    }
    const { data, ...entry } = first;
    const offset = Math.min(entryOffset, data.length);
    return {
      kind: RaftMessageKind.EntryPart,
      ...head,
      entry,
      offset,
      totalBytes: data.length,
      data: data.subarray(offset, offset + maxPartBytes),
    };
  }

  #sendEmpty(id: string, progress: Progress, commitIndex: number, nowMs: number): void {
    const matchTerm = this.#log.getTerm(progress.matchIndex);
    const prevIndex = matchTerm === null ? this.#log.firstIndex - 1 : progress.matchIndex;
    this.#lastRound += 1;
    this.#outbox.send(id, {
      kind: RaftMessageKind.Append,
      term: this.#term,
      round: this.#lastRound,
      sentAtMs: nowMs,
      prevIndex,
      prevTerm: this.#log.getTerm(prevIndex) ?? 0,
      entries: [],
      commitIndex,
    });
  }
}
