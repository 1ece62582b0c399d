/** Why a plan has its outcome. */
export enum PlanReason {
  /** The forecast shows nothing worth changing. */
  Balanced = "balanced",
  /** A change would save less than it costs, or less than the forecast error. */
  NotWorthIt = "not_worth_it",
  SplitOnly = "split_only",
  /** Busy hours: only the split was shifted. */
  SplitOnlyBusy = "split_only_busy",
  Moves = "moves",
  /** Busy hours and nothing to gain from the split. */
  Busy = "busy",
}
