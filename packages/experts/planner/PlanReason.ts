/** Reason for the outcome of a plan. */
export enum PlanReason {
  /** The forecast load is balanced within the forecast error. */
  Balanced = "balanced",
  /** A change would save less than it costs, or less than the forecast error. */
  NotWorthIt = "not_worth_it",
  SplitOnly = "split_only",
  /** Busy hours: only the split was changed. */
  SplitOnlyBusy = "split_only_busy",
  Moves = "moves",
  /** Busy hours, and changing the split gains nothing. */
  Busy = "busy",
}
