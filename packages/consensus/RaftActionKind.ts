/** Kinds of actions that the Raft core returns to its caller. */
export enum RaftActionKind {
  Persist = "persist",
  Send = "send",
  Apply = "apply",
  Restore = "restore",
  Role = "role",
}
