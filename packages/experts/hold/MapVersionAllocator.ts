/** Map versions per term; one plan per second uses them up in half a year. */
const versionsPerTerm = 2 ** 24;

/**
 * Allocates the versions of the maps that one leader plans for a group. A version contains the leader's term,
 * which is unique to it. Counting up from the versions that the ranks report is not enough: reports do not
 * include orders that are still being carried out, so two different maps could get the same version.
 */
export class MapVersionAllocator {
  /** Version of this term that no map has. */
  readonly reserved: number;
  readonly #endVersion: number;
  #lastVersion: number;

  constructor(term: number) {
    this.reserved = term * versionsPerTerm;
    this.#lastVersion = this.reserved;
    this.#endVersion = (term + 1) * versionsPerTerm;
  }

  /**
   * Version for the next map; null when a rank reports a version of a later term, or this term has none left.
   */
  allocate(highestReported: number): number | null {
    const version = 1 + Math.max(this.#lastVersion, highestReported);
    if (version >= this.#endVersion) {
      return null;
    }
    this.#lastVersion = version;
    return version;
  }
}
