import type { LogEntry } from "./LogEntry";
import type { Membership } from "./Membership";
import type { RaftMessageKind } from "./RaftMessageKind";

interface VoteRequest {
  readonly kind: RaftMessageKind.PreVote | RaftMessageKind.Vote;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Of a pre-vote: whether the sender has heard no leader since its start. */
  readonly isCold?: boolean;
  /** Of a vote: life of the receiver that all voters were cold in; see `ColdStart`. */
  readonly coldLife?: string;
}

interface VoteReply {
  readonly kind: RaftMessageKind.PreVoteReply | RaftMessageKind.VoteReply;
  /** Term that the vote is for, or the voter's own term when it refuses. */
  readonly term: number;
  readonly granted: boolean;
  /** Of a granted pre-vote: life of the voter, when it has heard no leader in it. */
  readonly coldLife?: string;
}

interface AppendRequest {
  readonly kind: RaftMessageKind.Append;
  readonly term: number;
  /** Pairs the reply with its request. */
  readonly round: number;
  /** Leader's clock at sending, echoed by the reply; the lease is counted from it. */
  readonly sentAtMs: number;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

interface AppendReply {
  readonly kind: RaftMessageKind.AppendReply;
  readonly term: number;
  readonly round: number;
  readonly sentAtMs: number;
  readonly success: boolean;
  /** Last entry known to match; after a refusal, the last entry that may match. */
  readonly matchIndex: number;
}

interface SnapshotRequest {
  readonly kind: RaftMessageKind.Snapshot;
  readonly term: number;
  readonly round: number;
  readonly sentAtMs: number;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

interface SnapshotReply {
  readonly kind: RaftMessageKind.SnapshotReply;
  readonly term: number;
  readonly round: number;
  readonly sentAtMs: number;
  readonly index: number;
  /** Bytes received so far. */
  readonly receivedBytes: number;
  readonly installed: boolean;
}

/** Message between two replicas of a log group. */
export type RaftMessage =
  VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | SnapshotReply;
