import { ColdStart } from "./ColdStart";
import type { DurableState } from "./DurableState";
import type { Outbox } from "./Outbox";
import { RaftActionKind } from "./RaftActionKind";
import type { RaftLog } from "./RaftLog";
import type { RaftMessage } from "./RaftMessage";
import { RaftMessageKind } from "./RaftMessageKind";
import type { RaftOptions } from "./RaftOptions";
import { RaftRole } from "./RaftRole";

interface VoteRequest {
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly isCold?: boolean;
  readonly coldLife?: string;
}

interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
  readonly coldLife?: string;
}

/** Holds the term, vote and role of one replica, and exchanges the messages that elect a leader. */
export class Election {
  readonly #id: string;
  readonly #options: RaftOptions;
  readonly #log: RaftLog;
  readonly #outbox: Outbox;
  readonly #coldStart: ColdStart;
  #term: number;
  #vote: string | null;
  #role = RaftRole.Follower;
  #leader: string | null = null;
  #lastLeaderContactMs: number;
  #deadlineMs = 0;
  #preVotes = new Set<string>();
  /**
   * Term for which this replica requests votes. It is 0 after a restart: as leader of a term from before the
   * restart, the replica could lack entries that it had not stored.
   */
  #candidacyTerm = 0;
  /**
   * Whether an earlier run of this replica may have requested votes for the next term without having stored that term. A vote
   * of then, granted to a log that may have had more entries, must not count now, so the next candidacy takes the term after
   * it and is stored before it is announced.
   */
  #mayRepeatTerm: boolean;
  /** Votes for this replica in the current term. */
  #votes = new Set<string>();
  #resendAtMs = 0;
  /** Replicas to which this one has yielded an election since its term or its leader last changed. */
  readonly #yieldedTo = new Set<string>();

  constructor(state: DurableState, log: RaftLog, outbox: Outbox, options: RaftOptions, nowMs: number) {
    this.#id = state.replicaId;
    this.#options = options;
    this.#log = log;
    this.#outbox = outbox;
    this.#term = state.term;
    this.#vote = state.vote;
    this.#mayRepeatTerm = state.term > 0;
    // A restarted replica does not know when it last acknowledged a leader, so it counts from its start. If
    // it voted earlier, a second leader could be elected while the first one holds a lease.
    this.#lastLeaderContactMs = nowMs;
    this.#coldStart = new ColdStart(state.term > 0, nowMs, options.random);
    this.#resetDeadline(nowMs);
    if (this.#coldStart.isCold) {
      this.#deadlineMs = this.#coldStart.firstPreVoteAtMs;
    }
  }

  get term(): number {
    return this.#term;
  }

  get vote(): string | null {
    return this.#vote;
  }

  get role(): RaftRole {
    return this.#role;
  }

  get leader(): string | null {
    return this.#leader;
  }

  /** Whether there is a live leader, as far as this replica knows. The replica then ignores vote requests. */
  hasLiveLeader(nowMs: number): boolean {
    return this.#role === RaftRole.Leader || this.#isContactRecent(nowMs);
  }

  /**
   * Whether to handle a vote request although this replica counts its start as contact with a leader; see
   * `ColdStart`.
   */
  answersDuringColdStart(message: RaftMessage): boolean {
    if (!this.#coldStart.isCold) {
      return false;
    }
    return message.kind === RaftMessageKind.PreVote
      ? message.isCold === true
      : message.kind === RaftMessageKind.Vote && message.coldLife === this.#coldStart.incarnation;
  }

  /** Starts a round of pre-votes after an election timeout without a leader; resends unanswered requests. */
  tick(nowMs: number): void {
    if (this.#outbox.isVotePending) {
      // The deadline counts from the sync. A new round before it would need a sync as well, so with syncs
      // slower than the election timeout no round would ever complete.
      this.#resetDeadline(nowMs);
      return;
    }
    if (nowMs < this.#deadlineMs) {
      this.#resend(nowMs);
      return;
    }
    this.#resetDeadline(nowMs);
    if (!(this.#id in this.#log.getMembership().membership.voters)) {
      return;
    }
    this.#leader = null;
    this.#setRole(RaftRole.PreCandidate);
    this.#preVotes = new Set([this.#id]);
    this.#sendToVoters(RaftMessageKind.PreVote, this.#nextTerm, nowMs);
    if (this.#canStartElection(nowMs)) {
      this.#startElection(nowMs);
    }
  }

  setTerm(term: number, nowMs: number): void {
    this.#term = term;
    this.#vote = null;
    this.#votes = new Set();
    this.#leader = null;
    this.#yieldedTo.clear();
    this.#outbox.markVoteChanged();
    this.stepDown(nowMs);
  }

  stepDown(nowMs: number): void {
    this.#leader = null;
    this.#setRole(RaftRole.Follower);
    this.#resetDeadline(nowMs);
  }

  follow(leader: string, nowMs: number): void {
    this.#leader = leader;
    this.#lastLeaderContactMs = nowMs;
    this.#coldStart.markWarm();
    this.#yieldedTo.clear();
    this.#setRole(RaftRole.Follower);
    this.#resetDeadline(nowMs);
  }

  onPreVote(from: string, message: VoteRequest, nowMs: number): void {
    const granted = message.term > this.#term && this.#isUpToDate(message);
    if (granted && this.#shouldYieldTo(from, message)) {
      this.#yieldedTo.add(from);
      this.stepDown(nowMs);
    }
    const term = granted ? message.term : this.#term;
    const isCold = granted && message.isCold === true && this.#coldStart.isCold;
    const cold = isCold ? { coldLife: this.#coldStart.incarnation } : {};
    // Sent after any vote that is still being stored, so that the vote arrives first.
    this.#outbox.sendAfterPersist(from, { kind: RaftMessageKind.PreVoteReply, term, granted, ...cold });
  }

  onPreVoteReply(from: string, message: VoteReply, nowMs: number): void {
    if (this.#role !== RaftRole.PreCandidate || !message.granted || message.term !== this.#nextTerm) {
      return;
    }
    this.#preVotes.add(from);
    if (message.coldLife !== undefined) {
      this.#coldStart.recordColdVoter(from, message.coldLife);
    }
    if (this.#canStartElection(nowMs)) {
      this.#startElection(nowMs);
    }
  }

  onVote(from: string, message: VoteRequest, nowMs: number): void {
    const canVote = this.#vote === null || this.#vote === from;
    const granted = message.term === this.#term && canVote && this.#isUpToDate(message);
    if (granted && this.#vote === null) {
      this.#vote = from;
      this.#outbox.markVoteChanged();
      this.#resetDeadline(nowMs);
    }
    this.#outbox.sendAfterPersist(from, { kind: RaftMessageKind.VoteReply, term: this.#term, granted });
  }

  /**
   * Returns whether this vote made the replica the leader. A vote that arrives late because of a slow sync
   * counts as long as the term lasts, even when the candidate has already started pre-votes for the next
   * term.
   */
  onVoteReply(from: string, message: VoteReply): boolean {
    const isCandidate = this.#role === RaftRole.Candidate || this.#role === RaftRole.PreCandidate;
    const isForCandidacy = message.term === this.#term && message.term === this.#candidacyTerm;
    if (!isCandidate || !message.granted || !isForCandidacy) {
      return false;
    }
    this.#votes.add(from);
    if (!this.#isMajority(this.#votes)) {
      return false;
    }
    this.#candidacyTerm = 0;
    this.#coldStart.markWarm();
    this.#leader = this.#id;
    this.#setRole(RaftRole.Leader);
    return true;
  }

  /** Term of the next candidacy. */
  get #nextTerm(): number {
    return this.#term + (this.#mayRepeatTerm ? 2 : 1);
  }

  /** A majority suffices after an election timeout without a leader; before that, all voters must be cold. */
  #canStartElection(nowMs: number): boolean {
    if (!this.#isMajority(this.#preVotes)) {
      return false;
    }
    const voters = Object.keys(this.#log.getMembership().membership.voters);
    return !this.#isContactRecent(nowMs) || this.#coldStart.areAllVotersCold(voters, this.#id);
  }

  #isContactRecent(nowMs: number): boolean {
    return nowMs - this.#lastLeaderContactMs < this.#options.electionTimeoutMs;
  }

  /**
   * Requests votes while the own one is being synced, so that an election over slow disks takes one sync less. An announced
   * term is at most one above the stored one.
   */
  #startElection(nowMs: number): void {
    const isStoredFirst = this.#mayRepeatTerm || this.#outbox.isVotePending;
    this.setTerm(this.#nextTerm, nowMs);
    this.#mayRepeatTerm = false;
    this.#vote = this.#id;
    this.#candidacyTerm = this.#term;
    this.#setRole(RaftRole.Candidate);
    this.#sendToVoters(RaftMessageKind.Vote, this.#term, nowMs, isStoredFirst);
    // The replica's own vote counts only once it is stored, like any other vote.
    const message: RaftMessage = { kind: RaftMessageKind.VoteReply, term: this.#term, granted: true };
    this.#outbox.sendAfterPersist(this.#id, message);
  }

  /**
   * Whether to yield the election to a replica that requests a pre-vote. Without this, replicas whose
   * timeouts expire within one round of messages and syncs split the votes term after term. Of two
   * pre-candidates, the one with the newer log continues, or the one with the greater id if the logs are
   * equal. A replica yields to another one only once for each term and leader, so that a replica whose
   * replies are lost cannot block the others for long.
   */
  #shouldYieldTo(from: string, { lastTerm, lastIndex }: VoteRequest): boolean {
    if (this.#yieldedTo.has(from)) {
      return false;
    }
    if (this.#role !== RaftRole.PreCandidate) {
      return this.#role === RaftRole.Follower;
    }
    const isSameLog = lastTerm === this.#log.lastTerm && lastIndex === this.#log.lastIndex;
    return !isSameLog || from > this.#id;
  }

  /**
   * Resends requests that may be lost, or ignored by a voter whose last contact with the old leader is more
   * recent.
   */
  #resend(nowMs: number): void {
    if (nowMs < this.#resendAtMs) {
      return;
    }
    if (this.#role === RaftRole.PreCandidate) {
      this.#sendToVoters(RaftMessageKind.PreVote, this.#nextTerm, nowMs);
    } else if (this.#role === RaftRole.Candidate && this.#votes.has(this.#id)) {
      this.#sendToVoters(RaftMessageKind.Vote, this.#term, nowMs);
    }
  }

  #sendToVoters(
    kind: RaftMessageKind.PreVote | RaftMessageKind.Vote,
    term: number,
    nowMs: number,
    isStoredFirst = false,
  ): void {
    this.#resendAtMs = nowMs + this.#options.heartbeatMs;
    const { lastIndex, lastTerm } = this.#log;
    const answered = kind === RaftMessageKind.PreVote ? this.#preVotes : this.#votes;
    for (const id of Object.keys(this.#log.getMembership().membership.voters)) {
      if (id !== this.#id && !answered.has(id)) {
        const message = { kind, term, lastIndex, lastTerm };
        const coldLife = this.#coldStart.isCold ? this.#coldStart.getColdIncarnation(id) : undefined;
        const request =
          kind === RaftMessageKind.PreVote
            ? { ...message, isCold: this.#coldStart.isCold }
            : { ...message, ...(coldLife === undefined ? {} : { coldLife }) };
        if (isStoredFirst) {
          this.#outbox.sendAfterPersist(id, request);
        } else {
          this.#outbox.send(id, request);
        }
      }
    }
  }

  #isMajority(votes: ReadonlySet<string>): boolean {
    const voters = Object.keys(this.#log.getMembership().membership.voters);
    return voters.filter((id) => votes.has(id)).length * 2 > voters.length;
  }

  #isUpToDate({ lastTerm, lastIndex }: VoteRequest): boolean {
    const own = this.#log;
    return lastTerm > own.lastTerm || (lastTerm === own.lastTerm && lastIndex >= own.lastIndex);
  }

  #resetDeadline(nowMs: number): void {
    const { electionTimeoutMs, random } = this.#options;
    // The jitter is half a timeout: enough to separate candidates, and short enough for a failover under 2 s.
    this.#deadlineMs = nowMs + electionTimeoutMs * (1 + random() / 2);
  }

  #setRole(role: RaftRole): void {
    if (role !== this.#role) {
      this.#role = role;
      this.#outbox.push({ kind: RaftActionKind.Role, role, term: this.#term });
    }
  }
}
