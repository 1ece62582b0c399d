/** Rejections in a row before the group counts as recovering; a single one may be the fault of one rank. */
const leastTurnedAway = 2;
/** Time between two probe requests to a recovering group. */
const tryGapMs = 100;

/**
 * Detects that the ranks of a service reject requests because their groups are recovering. One request of
 * this gateway at a time then probes whether the recovery has finished; the others wait for the result
 * instead of being rejected as well. This covers the load after a power loss or the crash of a rank. Pure:
 * the caller passes the current time.
 */
export class GroupForming {
  #turnedAway = 0;
  #nextTryAtMs = -Infinity;

  get isForming(): boolean {
    return this.#turnedAway >= leastTurnedAway;
  }

  /** A rank has rejected a request. */
  noteTurnedAway(nowMs: number): void {
    this.#turnedAway += 1;
    this.#nextTryAtMs = nowMs + tryGapMs;
  }

  /** A rank has started a response. */
  noteServed(): void {
    this.#turnedAway = 0;
  }

  /** Takes the next probe if one is due; always true while the service is not recovering. */
  takeTry(nowMs: number): boolean {
    if (!this.isForming) {
      return true;
    }
    if (nowMs < this.#nextTryAtMs) {
      return false;
    }
    this.#nextTryAtMs = nowMs + tryGapMs;
    return true;
  }
}
