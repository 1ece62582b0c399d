/** Requests that are turned away in a row before the service counts as forming; one rank alone may be at fault. */
const leastTurnedAway = 2;
/** Time between two requests that try a service that forms. */
const tryGapMs = 100;

/**
 * Whether the ranks of a service form their groups again and turn requests away. One request of this gateway at a time
 * tries whether they have finished; the others wait for it instead of being turned away as well. Answers the load that
 * follows a loss of power or the end of a rank. Has no clock.
 */
export class GroupForming {
  #turnedAway = 0;
  #nextTryAtMs = -Infinity;

  get isForming(): boolean {
    return this.#turnedAway >= leastTurnedAway;
  }

  /** A rank has turned a request away. */
  noteTurnedAway(nowMs: number): void {
    this.#turnedAway += 1;
    this.#nextTryAtMs = nowMs + tryGapMs;
  }

  /** A rank has begun an answer. */
  noteServed(): void {
    this.#turnedAway = 0;
  }

  /** Takes the next try when one is due; always granted while the service does not form. */
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
