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
  /** Received bytes of the entry at `nextIndex`, while it is sent in parts. */
  entryOffset: number;
}
