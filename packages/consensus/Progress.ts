/** What the leader knows about one member. Times are by the leader's clock. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /** Latest sending time of an answered round; the lease is counted from it. */
  ackedSentAtMs: number;
  heardAtMs: number;
  /** Round that carries entries or a snapshot part and is not answered yet; 0 when none. */
  openRound: number;
  openSinceMs: number;
  snapshotOffset: number;
}
