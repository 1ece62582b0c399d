/** Why a report was dropped. Each reason has a counter. */
export enum ReportFault {
  RankUnknown = "rank_unknown",
  MapVersion = "map_version",
  Length = "length",
  Negative = "negative",
  NotFinite = "not_finite",
  /** Not newer than an accepted report of the same incarnation. */
  OutOfOrder = "out_of_order",
  /** Sent by an earlier incarnation of the rank than an accepted report. */
  OldIncarnation = "old_incarnation",
  TooOld = "too_old",
  /** No recent report of the rank. */
  Missing = "missing",
}
