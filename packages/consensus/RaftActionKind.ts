/** Kinds of actions that the log core asks its surroundings to carry out. */
export enum RaftActionKind {
  Persist = "persist",
  Send = "send",
  Apply = "apply",
  Restore = "restore",
  Role = "role",
}
