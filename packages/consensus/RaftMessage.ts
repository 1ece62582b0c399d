import type { LogEntry } from "./LogEntry";
import type { Membership } from "./Membership";
import type { RaftMessageKind } from "./RaftMessageKind";

interface VoteRequest {
  readonly kind: RaftMessageKind.PreVote | RaftMessageKind.Vote;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Pre-vote only: whether the sender has had no contact with a leader since its start. */
  readonly isCold?: boolean;
  /** Vote only: incarnation in which the receiver reported to be cold; see `ColdStart`. */
  readonly coldLife?: string;
}

interface VoteReply {
  readonly kind: RaftMessageKind.PreVoteReply | RaftMessageKind.VoteReply;
  /** Term of the granted vote, or the voter's own term when it rejects the request. */
  readonly term: number;
  readonly granted: boolean;
  /**
   * Granted pre-vote only: incarnation of the voter, if it has had no contact with a leader since its start.
   */
  readonly coldLife?: string;
}

interface AppendRequest {
  readonly kind: RaftMessageKind.Append;
  readonly term: number;
  /** Matches the reply to its request. */
  readonly round: number;
  /** Send time by the leader's clock, echoed in the reply; the lease counts from it. */
  readonly sentAtMs: number;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** A part of the entry after `prevIndex`. It is answered like an append without entries until the entry is complete. */
interface EntryPartRequest extends Omit<AppendRequest, "kind" | "entries"> {
  readonly kind: RaftMessageKind.EntryPart;
  readonly entry: Omit<LogEntry, "data">;
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

interface AppendReply {
  readonly kind: RaftMessageKind.AppendReply;
  readonly term: number;
  readonly round: number;
  readonly sentAtMs: number;
  readonly success: boolean;
  /** On success, the last entry known to match the leader's log; otherwise, the last entry that may match. */
  readonly matchIndex: number;
  /** The entry of which a part was received, and its bytes received so far; missing once the entry is complete. */
  readonly partial?: { readonly index: number; readonly receivedBytes: number };
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

/** Message between two replicas of a Raft group. */
export type RaftMessage =
  VoteRequest | VoteReply | AppendRequest | EntryPartRequest | AppendReply | SnapshotRequest | SnapshotReply;
