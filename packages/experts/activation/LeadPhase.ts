/** What a group lead is doing. */
export enum LeadPhase {
  /** Reading the last decision and aborting what an earlier lead left undecided. */
  TakingOver = "taking_over",
  /** Waiting until every rank has joined and heard the last decision. */
  Settling = "settling",
  Idle = "idle",
  Preparing = "preparing",
  Arming = "arming",
  Deciding = "deciding",
}
