// An entry never reuses an attempt id; ids are kept longer than any stamp is good, so that a copy of a request
// is refused either here or for its stamp.
const retentionMs = 60_000;
const maxCount = 20_000;

/** Remembers the attempt ids that were forwarded. Without I/O. */
export class AttemptMemory {
  /** In the order of insertion, which is the order of time. */
  readonly #seenAtMs = new Map<string, number>();

  has(attemptId: string): boolean {
    return this.#seenAtMs.has(attemptId);
  }

  /** Full memory refuses new attempts instead of forgetting ids that may still be copied. */
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
