interface Holder {
  readonly appliedRevision: number;
  readonly region: string;
  readonly expiresAtMs: number;
}

/** Serving leases that may still be valid, each with the lowest revision that its holder may be serving. */
export class LeaseTable {
  readonly #holders = new Map<string, Holder>();

  /** Records a renewal. `expiresAtMs` has to include the clock drift of the holder. */
  recordRenewal(
    holder: string,
    incarnation: string,
    region: string,
    appliedRevision: number,
    expiresAtMs: number,
  ): void {
    const key = JSON.stringify([holder, incarnation]);
    // An earlier lease may expire later than this one when the lease length was reduced in between.
    const latestMs = Math.max(expiresAtMs, this.#holders.get(key)?.expiresAtMs ?? 0);
    this.#holders.set(key, { appliedRevision, region, expiresAtMs: latestMs });
  }

  /** Returns the lowest applied revision among the valid leases; `fallback` when there are none. */
  getLowestRevision(nowMs: number, fallback: number): number {
    this.#dropExpired(nowMs);
    return Math.min(fallback, ...[...this.#holders.values()].map(({ appliedRevision }) => appliedRevision));
  }

  getCount(nowMs: number): number {
    this.#dropExpired(nowMs);
    return this.#holders.size;
  }

  #dropExpired(nowMs: number): void {
    for (const [key, { expiresAtMs }] of this.#holders) {
      if (expiresAtMs <= nowMs) {
        this.#holders.delete(key);
      }
    }
  }
}
