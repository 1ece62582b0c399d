/** Kinds of messages between the replicas of a Raft group. */
export enum RaftMessageKind {
  PreVote = "pre_vote",
  PreVoteReply = "pre_vote_reply",
  Vote = "vote",
  VoteReply = "vote_reply",
  Append = "append",
  AppendReply = "append_reply",
  /** A part of one entry that is too large for an append. */
  EntryPart = "entry_part",
  Snapshot = "snapshot",
  SnapshotReply = "snapshot_reply",
}
