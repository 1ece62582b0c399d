/** What the suspicion core asks its shell to do. */
export enum SuspicionActionKind {
  /** Try to reach the target on a new connection. */
  Probe = "probe",
  /** Have a relay of another failure domain try to reach the target. */
  AskPeer = "ask_peer",
  Remove = "remove",
  LowerWeight = "lower_weight",
  RestoreWeight = "restore_weight",
}
