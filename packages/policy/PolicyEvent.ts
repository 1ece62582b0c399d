/** Decisions of the policy that are counted in addition to refusals and retries. */
export enum PolicyEvent {
  Queued = "queued",
  Preempted = "preempted",
  Resumed = "resumed",
  Hedged = "hedged",
  HedgeWon = "hedge_won",
  StreamMoved = "stream_moved",
  Ejected = "ejected",
  Readmitted = "readmitted",
  EjectionWithheld = "ejection_withheld",
}
