/** Codes of the errors that a control process returns. */
export enum ControlErrorCode {
  /** Only the leader can handle the request; `detail.leader` is its address, if known. */
  NotLeader = "not_leader",
  /** The leader has no valid lease, so it cannot know whether its state is current. */
  NoLease = "no_lease",
  UnknownGroup = "unknown_group",
  StorageFull = "storage_full",
  /** The command may or may not be committed; it can be sent again safely with the same id. */
  OutcomeUnknown = "outcome_unknown",
  Invalid = "invalid",
  Refused = "refused",
  WrongReplica = "wrong_replica",
  Deadline = "deadline",
}
