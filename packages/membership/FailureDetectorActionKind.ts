/** Kinds of actions that the failure detector requests from its caller. */
export enum FailureDetectorActionKind {
  /** Try to reach the target on a new connection. */
  Probe = "probe",
  /** Request a relay of another failure domain to try to reach the target. */
  RequestPeerProbe = "ask_peer",
  Remove = "remove",
  LowerWeight = "lower_weight",
  RestoreWeight = "restore_weight",
}
