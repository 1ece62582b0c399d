// An entry never reuses an attempt id. Ids are kept longer than any stamp is valid, so that a duplicate of a
// request is rejected either by its attempt id or by its stamp.
const retentionMs = 60_000;
const maxAttemptCount = 20_000;

/** Recently admitted attempt ids, for rejecting duplicates. Pure: the caller passes the current time. */
export class RecentAttempts {
  /** Ordered by insertion and therefore by time. */
  readonly #admittedAtMs = new Map<string, number>();

  has(attemptId: string): boolean {
    return this.#admittedAtMs.has(attemptId);
  }

  /** When full, new attempts are rejected; evicting an id early would let a duplicate run. */
  isFull(nowMs: number): boolean {
    this.#evictExpired(nowMs);
    return this.#admittedAtMs.size >= maxAttemptCount;
  }

  add(attemptId: string, nowMs: number): void {
    this.#evictExpired(nowMs);
    this.#admittedAtMs.set(attemptId, nowMs);
  }

  #evictExpired(nowMs: number): void {
    for (const [attemptId, seenAtMs] of this.#admittedAtMs) {
      if (nowMs - seenAtMs <= retentionMs) {
        return;
      }
      this.#admittedAtMs.delete(attemptId);
    }
  }
}
