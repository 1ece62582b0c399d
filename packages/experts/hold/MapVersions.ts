/** Versions that one term may use; one plan a second takes half a year to use them up. */
const versionsPerTerm = 2 ** 24;

/**
 * Versions of the maps that one lead plans for a group. They carry the lead's term, which no other lead has: what ranks
 * report does not show the orders that are still being carried out, so counting on from the reports alone would give
 * the version of such a map to another one.
 */
export class MapVersions {
  /** Version of this term that no map has. */
  readonly reserved: number;
  readonly #endVersion: number;
  #lastVersion: number;

  constructor(term: number) {
    this.reserved = term * versionsPerTerm;
    this.#lastVersion = this.reserved;
    this.#endVersion = (term + 1) * versionsPerTerm;
  }

  /** Version of the next map; null when a rank reports a version of a later term, or those of this term are used up. */
  take(highestReported: number): number | null {
    const version = 1 + Math.max(this.#lastVersion, highestReported);
    if (version >= this.#endVersion) {
      return null;
    }
    this.#lastVersion = version;
    return version;
  }
}
