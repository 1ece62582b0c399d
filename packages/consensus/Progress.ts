/** Replication progress of one member, as seen by the leader. Times are by the leader's clock. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /** Latest send time of an acknowledged round; the lease counts from it. */
  ackedSentAtMs: number;
  lastContactMs: number;
  /** Round with entries or a snapshot chunk that has no reply yet; 0 when there is none. */
  unansweredRound: number;
  unansweredSinceMs: number;
  snapshotOffset: number;
}
