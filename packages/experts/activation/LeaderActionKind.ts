/** Kinds of actions of a group leader. */
export enum LeaderActionKind {
  SendOrder = "send_order",
  /** Commit a decision to the control log, fenced by the epoch; retry until there is a response. */
  CommitDecision = "commit_decision",
}
