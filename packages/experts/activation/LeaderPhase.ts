/** Phase of a group leader. */
export enum LeaderPhase {
  /** Reading the last decision and aborting activations that an earlier leader left undecided. */
  TakingOver = "taking_over",
  /** Waiting until every rank has joined and received the last decision. */
  Settling = "settling",
  Idle = "idle",
  Preparing = "preparing",
  Arming = "arming",
  Deciding = "deciding",
}
