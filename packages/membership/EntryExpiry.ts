import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";

// Entries announce themselves at least every few seconds. An entry that is gone may stay listed for this
// long, since callers try the next address of their list anyway.
const defaultExpiryMs = 15_000;

/** Finds entries that have stopped announcing themselves. Performs no I/O. */
export class EntryExpiry {
  readonly #expiryMs: number;
  readonly #lastContactMs = new Map<string, number>();

  constructor(expireAfterMs = defaultExpiryMs) {
    this.#expiryMs = expireAfterMs;
  }

  recordContact(entry: string, nowMs: number): void {
    this.#lastContactMs.set(entry, nowMs);
  }

  hasContact(entry: string): boolean {
    return this.#lastContactMs.has(entry);
  }

  /** Returns the entries whose last announcement to this relay is older than the expiry. */
  findExpired(entries: readonly EntryAnnouncement[], nowMs: number): EntryAnnouncement[] {
    const present = new Set(entries.map(({ entry }) => entry));
    for (const entry of this.#lastContactMs.keys()) {
      if (!present.has(entry)) {
        this.#lastContactMs.delete(entry);
      }
    }
    return entries.filter(({ entry }) => {
      const contactMs = this.#lastContactMs.get(entry);
      return contactMs !== undefined && nowMs - contactMs > this.#expiryMs;
    });
  }
}
