/** Order in which the classes of a queue are served. */
export enum ClassOrder {
  /** By the virtual start of the next item: a class that becomes active is served next. */
  Start = "start",
  /** By the virtual end of the next item: a class of a much lower weight does not pass one with items waiting. */
  End = "end",
}
