/** Why a report was dropped. Each reason has a counter. */
export enum ReportFault {
  RankUnknown = "rank_unknown",
  MapVersion = "map_version",
  Length = "length",
  Negative = "negative",
  NotFinite = "not_finite",
  /** Older than, or equal to, a report of the same rank that was accepted before. */
  OutOfOrder = "out_of_order",
  /** Sent by an earlier start of the rank than one already heard. */
  OldIncarnation = "old_incarnation",
  TooOld = "too_old",
  /** No report of the rank within the expected time. */
  Missing = "missing",
}
