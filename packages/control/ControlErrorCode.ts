/** Codes of the errors that a control process answers with. */
export enum ControlErrorCode {
  /** Only the leader may answer; `detail.leader` holds its address when known. */
  NotLeader = "not_leader",
  /** The leader's lease does not run, so it cannot know whether its state is current. */
  NoLease = "no_lease",
  UnknownGroup = "unknown_group",
  StorageFull = "storage_full",
  /** The command may or may not be committed; a resend with the same id is safe. */
  OutcomeUnknown = "outcome_unknown",
  Invalid = "invalid",
  Refused = "refused",
  WrongReplica = "wrong_replica",
  Deadline = "deadline",
}
