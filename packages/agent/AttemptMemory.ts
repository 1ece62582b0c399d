// An entry never reuses an attempt id. Ids are kept longer than any stamp is valid, so that a duplicate of a
// request is rejected either by its attempt id or by its stamp.
const retentionMs = 60_000;
const maxCount = 20_000;

/** Recently admitted attempt ids, for rejecting duplicates. Pure: the caller passes the current time. */
export class AttemptMemory {
  /** Ordered by insertion and therefore by time. */
  readonly #seenAtMs = new Map<string, number>();

  has(attemptId: string): boolean {
    return this.#seenAtMs.has(attemptId);
  }

  /** When full, new attempts are rejected; evicting an id early would let a duplicate run. */
  isFull(nowMs: number): boolean {
    this.#forgetOld(nowMs);
    return this.#seenAtMs.size >= maxCount;
  }

  add(attemptId: string, nowMs: number): void {
    this.#forgetOld(nowMs);
    this.#seenAtMs.set(attemptId, nowMs);
  }

  #forgetOld(nowMs: number): void {
    for (const [attemptId, seenAtMs] of this.#seenAtMs) {
      if (nowMs - seenAtMs <= retentionMs) {
        return;
      }
      this.#seenAtMs.delete(attemptId);
    }
  }
}
