interface LongestDeadline {
  readonly leftMs: number;
  readonly seenAtMs: number;
}

/** A longest deadline that was not seen again for this time may not be in use any more. */
const memoryMs = 30_000;

/**
 * How long callers of each route wait at most, learned from the deadlines that they state. One that states less has tried
 * before; the route's own timeout does not tell, since operators change it without the callers. Has no clock.
 */
export class CallerDeadlines {
  readonly #longest = new Map<string, LongestDeadline>();

  /** Takes the time that a caller has left. Returns the time for which it has waited before, as far as it is known. */
  note(route: string, leftMs: number | null, nowMs: number): number {
    if (leftMs === null) {
      return 0;
    }
    const known = this.#longest.get(route);
    if (known === undefined || leftMs >= known.leftMs || nowMs - known.seenAtMs > memoryMs) {
      this.#longest.set(route, { leftMs, seenAtMs: nowMs });
      return 0;
    }
    return known.leftMs - leftMs;
  }
}
