/** Kinds of actions of a group lead. */
export enum LeadActionKind {
  SendOrder = "send_order",
  /** Commit a decision in the control log, fenced by the epoch; repeat until answered. */
  CommitDecision = "commit_decision",
}
