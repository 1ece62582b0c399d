/** Why the Raft core rejected a proposal. */
export enum ProposeRefusal {
  NotLeader = "not_leader",
  /** The leader has not committed an entry of its own term yet. */
  TermNotCommitted = "term_not_committed",
  /** Another membership change is not committed yet. */
  ChangePending = "change_pending",
  /** The learner lags too far behind to become a voter. */
  NotCaughtUp = "not_caught_up",
  UnknownMember = "unknown_member",
  /** The last voter cannot be removed. */
  LastVoter = "last_voter",
}
