interface LongestDeadline {
  readonly leftMs: number;
  readonly seenAtMs: number;
}

/** A longest deadline that is not seen again for this long may no longer be in use. */
const expiryMs = 30_000;

/**
 * Learns the longest deadline that callers of each route state. A caller that states a shorter one has
 * already tried before. The route's own timeout cannot serve for this, since operators change it
 * independently of the callers. Takes the current time as a parameter.
 */
export class CallerDeadlines {
  readonly #longest = new Map<string, LongestDeadline>();

  /**
   * Records the time that a caller has left. Returns how long it has already waited, in ms; 0 when that is
   * not known.
   */
  note(route: string, leftMs: number | null, nowMs: number): number {
    if (leftMs === null) {
      return 0;
    }
    const known = this.#longest.get(route);
    if (known === undefined || leftMs >= known.leftMs || nowMs - known.seenAtMs > expiryMs) {
      this.#longest.set(route, { leftMs, seenAtMs: nowMs });
      return 0;
    }
    return known.leftMs - leftMs;
  }
}
