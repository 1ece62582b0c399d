interface Holder {
  readonly appliedRevision: number;
  readonly region: string;
  readonly expiresAtMs: number;
}

/** Serving leases that may still run, each with the lowest revision that its holder may be serving. */
export class LeaseLedger {
  readonly #holders = new Map<string, Holder>();

  /** Notes a renewal. `expiresAtMs` has to include the clock drift of the holder. */
  note(
    holder: string,
    incarnation: string,
    region: string,
    appliedRevision: number,
    expiresAtMs: number,
  ): void {
    const key = JSON.stringify([holder, incarnation]);
    // A lease granted earlier may run longer than this one when the lease length was reduced in between.
    const latestMs = Math.max(expiresAtMs, this.#holders.get(key)?.expiresAtMs ?? 0);
    this.#holders.set(key, { appliedRevision, region, expiresAtMs: latestMs });
  }

  /** Lowest applied revision among the running leases; `none` when there is none. */
  getLowest(nowMs: number, none: number): number {
    this.#dropExpired(nowMs);
    return Math.min(none, ...[...this.#holders.values()].map(({ appliedRevision }) => appliedRevision));
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
