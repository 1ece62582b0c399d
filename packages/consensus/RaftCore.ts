import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { DurableState } from "./DurableState";
import { Election } from "./Election";
import { FollowerLog } from "./FollowerLog";
import type { LogEntry } from "./LogEntry";
import type { Membership } from "./Membership";
import type { MembershipChange } from "./MembershipChange";
import { MembershipChangeKind } from "./MembershipChangeKind";
import { Outbox } from "./Outbox";
import { ProposeRefusal } from "./ProposeRefusal";
import type { RaftAction } from "./RaftAction";
import { RaftActionKind } from "./RaftActionKind";
import { RaftLog } from "./RaftLog";
import type { RaftMessage } from "./RaftMessage";
import { RaftMessageKind } from "./RaftMessageKind";
import type { RaftOptions } from "./RaftOptions";
import { RaftRole } from "./RaftRole";
import { Replication } from "./Replication";
import { changeMembership } from "./changeMembership";

type MessageOf<Kind extends RaftMessageKind> = Extract<RaftMessage, { kind: Kind }>;

// A learner that lags the commit index by at most this much can become a voter without delaying commits for
// long.
const maxPromoteLagEntries = 64;

/**
 * Raft state machine of one replica: takes messages and the current time, and returns actions. Performs no
 * I/O.
 */
export class RaftCore {
  readonly id: string;
  readonly #options: RaftOptions;
  readonly #log: RaftLog;
  readonly #outbox: Outbox;
  readonly #follower: FollowerLog;
  readonly #election: Election;
  #commitIndex: number;
  #appliedIndex: number;
  #nextHeartbeatMs = 0;
  #replication: Replication | null = null;
  #termStartIndex = 0;
  /** When entries were appended that have not been sent to the members yet; null for none. */
  #replicateAtMs: number | null = null;

  constructor(state: DurableState, options: RaftOptions, nowMs: number) {
    this.id = state.replicaId;
    this.#options = options;
    this.#log = new RaftLog(state.snapshot, state.entries);
    this.#outbox = new Outbox(this.#log);
    this.#follower = new FollowerLog(this.#log, this.#outbox);
    this.#election = new Election(state, this.#log, this.#outbox, options, nowMs);
    this.#commitIndex = state.snapshot?.index ?? 0;
    this.#appliedIndex = this.#commitIndex;
    if (state.snapshot !== null) {
      this.#outbox.push({ kind: RaftActionKind.Restore, snapshot: state.snapshot });
    }
  }

  get term(): number {
    return this.#election.term;
  }

  get role(): RaftRole {
    return this.#election.role;
  }

  /** Replica id of the current term's leader; null when unknown. */
  get leader(): string | null {
    return this.#election.leader;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  get lastIndex(): number {
    return this.#log.lastIndex;
  }

  get firstIndex(): number {
    return this.#log.firstIndex;
  }

  get membership(): Membership {
    return this.#log.getMembership().membership;
  }

  /** Whether this replica has never voted, has never stored an entry and belongs to no Raft group. */
  get isUnused(): boolean {
    return this.term === 0 && this.#log.lastIndex === 0;
  }

  getEntries(from: number, to: number): LogEntry[] {
    return this.#log.slice(from, to);
  }

  /**
   * Last entry that a member has acknowledged; null when this replica is not the leader or does not know the
   * member.
   */
  getMatchIndex(replicaId: string): number | null {
    return replicaId === this.id
      ? this.#outbox.durableIndex
      : (this.#replication?.getMatchIndex(replicaId) ?? null);
  }

  /**
   * Time since the last reply of a member; null when this replica is not the leader or does not know the
   * member.
   */
  getSilenceMs(replicaId: string, nowMs: number): number | null {
    return this.#replication?.getSilenceMs(replicaId, nowMs) ?? null;
  }

  /** Whether reads of committed state are current: no other leader can be elected before the lease ends. */
  hasLease(nowMs: number): boolean {
    return (
      this.role === RaftRole.Leader &&
      this.#commitIndex >= this.#termStartIndex &&
      nowMs < this.getLeaseEndMs(nowMs)
    );
  }

  /** End of the leader's lease by its own clock, counted from when the acknowledged round was sent. */
  getLeaseEndMs(nowMs: number): number {
    const { electionTimeoutMs, maxClockDriftShare } = this.#options;
    const ackedMs = this.#replication?.getMajorityAckedMs(this.#voterIds(), this.id, nowMs) ?? -Infinity;
    return ackedMs + electionTimeoutMs * (1 - 2 * maxClockDriftShare);
  }

  /**
   * Returns and clears the pending actions. Entries proposed since the last call share one persist and one message to each
   * member, as does the first entry of a leader's term.
   */
  takeActions(): RaftAction[] {
    if (this.#replicateAtMs !== null) {
      this.#replication?.replicate(this.#commitIndex, this.#replicateAtMs);
      this.#replicateAtMs = null;
    }
    this.#apply();
    return this.#outbox.takeActions(this.#election.term, this.#election.vote);
  }

  /** Appends the first membership to an unused replica. Only for the explicit creation of a Raft group. */
  bootstrap(membership: Membership, nowMs: number): void {
    if (!this.isUnused) {
      throw new Error("a replica with a term or a log cannot create a Raft group");
    }
    this.#election.setTerm(1, nowMs);
    this.#append({ index: 1, term: 1, data: null, membership });
  }

  propose(data: Uint8Array, nowMs: number): Either<ProposeRefusal, { index: number; term: number }> {
    if (this.role !== RaftRole.Leader) {
      return Left(ProposeRefusal.NotLeader);
    }
    const index = this.#log.lastIndex + 1;
    this.#append({ index, term: this.term, data, membership: null });
    this.#replicate(nowMs);
    return Right({ index, term: this.term });
  }

  proposeMembership(
    change: MembershipChange,
    nowMs: number,
  ): Either<ProposeRefusal, { index: number; term: number }> {
    if (this.role !== RaftRole.Leader) {
      return Left(ProposeRefusal.NotLeader);
    }
    if (this.#commitIndex < this.#termStartIndex) {
      return Left(ProposeRefusal.TermNotCommitted);
    }
    const current = this.#log.getMembership();
    if (current.index > this.#commitIndex) {
      return Left(ProposeRefusal.ChangePending);
    }
    if (change.kind === MembershipChangeKind.Promote) {
      const matchIndex = this.#replication?.getMatchIndex(change.replicaId) ?? 0;
      if (matchIndex + maxPromoteLagEntries < this.#commitIndex || matchIndex < this.#log.firstIndex - 1) {
        return Left(ProposeRefusal.NotCaughtUp);
      }
    }
    return changeMembership(current.membership, change).map((membership) => {
      const index = this.#log.lastIndex + 1;
      this.#append({ index, term: this.term, data: null, membership });
      this.#replicate(nowMs);
      return { index, term: this.term };
    });
  }

  /** Replaces the applied entries up to `index` by a snapshot of the state machine. */
  compact(index: number, data: Uint8Array): void {
    const term = this.#log.getTerm(index);
    if (term === null || index > this.#appliedIndex || index < this.#log.firstIndex) {
      return;
    }
    const { membership } = this.#log.getMembership(index);
    this.#outbox.installSnapshot({ index, term, membership, data });
  }

  tick(nowMs: number): void {
    if (this.role === RaftRole.Leader) {
      this.#tickLeader(nowMs);
    } else {
      this.#election.tick(nowMs);
    }
  }

  /** Reports that a persist has been synced, and sends the messages that depended on it. */
  persisted(id: number, nowMs: number): void {
    for (const message of this.#outbox.markPersisted(id, this.id)) {
      this.receive(this.id, message, nowMs);
    }
    this.#advanceCommit(nowMs);
  }

  receive(from: string, message: RaftMessage, nowMs: number): void {
    const isVoteRequest = message.kind === RaftMessageKind.PreVote || message.kind === RaftMessageKind.Vote;
    const election = this.#election;
    const ignoresVoteRequests = election.hasLiveLeader(nowMs) && !election.answersDuringColdStart(message);
    if (isVoteRequest && from !== this.id && ignoresVoteRequests) {
      return;
    }
    const keepsTerm =
      message.kind === RaftMessageKind.PreVote ||
      (message.kind === RaftMessageKind.PreVoteReply && message.granted);
    if (message.term > this.term && !keepsTerm) {
      this.#election.setTerm(message.term, nowMs);
      this.#replication = null;
    }
    this.#dispatch(from, message, nowMs);
  }

  #dispatch(from: string, message: RaftMessage, nowMs: number): void {
    switch (message.kind) {
      case RaftMessageKind.PreVote:
        this.#election.onPreVote(from, message, nowMs);
        break;
      case RaftMessageKind.PreVoteReply:
        this.#election.onPreVoteReply(from, message, nowMs);
        break;
      case RaftMessageKind.Vote:
        this.#election.onVote(from, message, nowMs);
        break;
      case RaftMessageKind.VoteReply:
        if (this.#election.onVoteReply(from, message)) {
          this.#becomeLeader(nowMs);
        }
        break;
      case RaftMessageKind.Append:
      case RaftMessageKind.EntryPart:
        this.#onAppend(from, message, nowMs);
        break;
      case RaftMessageKind.AppendReply:
        this.#replication?.onAppendReply(from, message, this.#commitIndex, nowMs);
        this.#advanceCommit(nowMs);
        break;
      case RaftMessageKind.Snapshot:
        this.#onSnapshot(from, message, nowMs);
        break;
      case RaftMessageKind.SnapshotReply:
        this.#replication?.onSnapshotReply(from, message, this.#commitIndex, nowMs);
        this.#advanceCommit(nowMs);
        break;
    }
  }

  #voterIds(): string[] {
    return Object.keys(this.membership.voters);
  }

  #append(entry: LogEntry): void {
    this.#log.append(entry);
    this.#outbox.markEntriesChanged(entry.index);
  }

  #becomeLeader(nowMs: number): void {
    this.#replication = new Replication(this.#log, this.#outbox, this.#options, this.term);
    // Entries of earlier terms are committed only through this entry of the leader's own term.
    this.#termStartIndex = this.#log.lastIndex + 1;
    this.#append({ index: this.#termStartIndex, term: this.term, data: null, membership: null });
    this.#nextHeartbeatMs = nowMs + this.#options.heartbeatMs;
    this.#replicate(nowMs);
  }

  /** Lets the members get the new entries with the next actions. */
  #replicate(nowMs: number): void {
    const { voters, learners } = this.membership;
    const others = [...Object.keys(voters), ...Object.keys(learners)].filter((id) => id !== this.id);
    this.#replication?.setMembers(others, nowMs);
    this.#replicateAtMs = nowMs;
  }

  #tickLeader(nowMs: number): void {
    if (this.#replication?.hasQuorum(this.#voterIds(), this.id, nowMs) !== true) {
      this.#stepDown(nowMs);
      return;
    }
    if (nowMs >= this.#nextHeartbeatMs) {
      this.#nextHeartbeatMs = nowMs + this.#options.heartbeatMs;
      this.#replication.heartbeat(this.#commitIndex, nowMs);
    }
  }

  #stepDown(nowMs: number): void {
    this.#election.stepDown(nowMs);
    this.#replication = null;
  }

  #onAppend(
    from: string,
    message: MessageOf<RaftMessageKind.Append | RaftMessageKind.EntryPart>,
    nowMs: number,
  ): void {
    const { round, sentAtMs } = message;
    const reply = { kind: RaftMessageKind.AppendReply as const, round, sentAtMs };
    if (message.term < this.term) {
      const refusal = { ...reply, term: this.term, success: false, matchIndex: 0 };
      this.#outbox.sendAfterPersist(from, refusal);
      return;
    }
    this.#election.follow(from, nowMs);
    this.#replication = null;
    const result =
      message.kind === RaftMessageKind.EntryPart
        ? this.#follower.addEntryPart(message)
        : this.#follower.append(message);
    if (result.success) {
      this.#commitIndex = Math.max(this.#commitIndex, Math.min(message.commitIndex, result.matchIndex));
    }
    const isHeartbeat = message.kind === RaftMessageKind.Append && message.entries.length === 0;
    if (result.success && (isHeartbeat || result.partial !== undefined)) {
      // Replies at once, with what is synced: a leader must not step down because disks are slow.
      const matchIndex = Math.min(result.matchIndex, this.#outbox.durableIndex);
      this.#outbox.send(from, { ...reply, term: this.term, ...result, matchIndex });
      return;
    }
    this.#outbox.sendAfterPersist(from, { ...reply, term: this.term, ...result });
  }

  #onSnapshot(from: string, message: MessageOf<RaftMessageKind.Snapshot>, nowMs: number): void {
    const { round, sentAtMs, index } = message;
    const reply = { kind: RaftMessageKind.SnapshotReply as const, term: this.term, round, sentAtMs, index };
    if (message.term < this.term) {
      this.#outbox.sendAfterPersist(from, { ...reply, receivedBytes: 0, installed: false });
      return;
    }
    this.#election.follow(from, nowMs);
    this.#replication = null;
    if (index <= this.#commitIndex) {
      this.#outbox.sendAfterPersist(from, { ...reply, receivedBytes: 0, installed: true });
      return;
    }
    const { receivedBytes, snapshot } = this.#follower.addSnapshotChunk(message);
    if (snapshot !== null) {
      this.#outbox.installSnapshot(snapshot);
      this.#outbox.push({ kind: RaftActionKind.Restore, snapshot });
      this.#commitIndex = snapshot.index;
      this.#appliedIndex = snapshot.index;
    }
    this.#outbox.sendAfterPersist(from, { ...reply, receivedBytes, installed: snapshot !== null });
  }

  #advanceCommit(nowMs: number): void {
    if (this.#replication === null) {
      return;
    }
    const index = this.#replication.getMajorityIndex(this.#voterIds(), this.id);
    if (index <= this.#commitIndex || this.#log.getTerm(index) !== this.term) {
      return;
    }
    this.#commitIndex = index;
    const { membership, index: definedAt } = this.#log.getMembership();
    if (!(this.id in membership.voters) && definedAt <= index) {
      // The other members must learn that the removal is committed before this replica stops sending.
      this.#replication.heartbeat(index, nowMs);
      this.#stepDown(nowMs);
    }
  }

  #apply(): void {
    if (this.#appliedIndex < this.#commitIndex) {
      const entries = this.#log.slice(this.#appliedIndex + 1, this.#commitIndex);
      this.#appliedIndex = this.#commitIndex;
      this.#outbox.push({ kind: RaftActionKind.Apply, entries });
    }
  }
}
