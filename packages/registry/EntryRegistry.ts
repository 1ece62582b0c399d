import type { EntryRecord } from "./EntryRecord";

interface HeardEntry {
  readonly entry: EntryRecord;
  readonly heardAtMs: number;
  /** Coordinator to which the entry reports; null for this one. */
  readonly via: string | null;
}

/** Entries that were silent for this long are not named to callers. They report five times a second. */
const silenceMs = 1500;

/**
 * Entries that were silent for this long are named only when too few others are there. A caller keeps an address for
 * two seconds, and waits for about as long at an entry that stands still.
 */
const quietMs = 900;

/** Entries that are alive, and the load they put on targets. Has no I/O. */
export class EntryRegistry {
  readonly #entries = new Map<string, HeardEntry>();

  put(entry: EntryRecord, heardAtMs: number, via: string | null): void {
    const known = this.#entries.get(entry.name);
    if (known === undefined || heardAtMs >= known.heardAtMs) {
      this.#entries.set(entry.name, { entry, heardAtMs, via });
    }
  }

  /** Addresses for a caller: those of its own failure domain while enough of them are ready and were heard lately. */
  listAddresses(failureDomain: string, leastOfDomain: number, nowMs: number): string[] {
    const ready = this.#listLive(nowMs).filter(({ entry }) => entry.isReady);
    const heard = ready.filter(({ heardAtMs }) => nowMs - heardAtMs < quietMs);
    const near = heard.filter(({ entry }) => entry.failureDomain === failureDomain);
    const named = [near, heard].find((entries) => entries.length >= leastOfDomain) ?? ready;
    return named.map(({ entry }) => entry.address);
  }

  countLive(nowMs: number): number {
    return this.#listLive(nowMs).length;
  }

  /** Requests in flight by target, over all entries but `except`. */
  sumInFlight(except: string, nowMs: number): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const { entry } of this.#listLive(nowMs)) {
      if (entry.name !== except) {
        for (const [id, count] of Object.entries(entry.inFlight)) {
          sums[id] = (sums[id] ?? 0) + count;
        }
      }
    }
    return sums;
  }

  /** Entries that report to this process, with the age of their last report. */
  listOwn(nowMs: number): { readonly entry: EntryRecord; readonly ageMs: number }[] {
    return this.#listLive(nowMs)
      .filter(({ via }) => via === null)
      .map(({ entry, heardAtMs }) => ({ entry, ageMs: nowMs - heardAtMs }));
  }

  #listLive(nowMs: number): HeardEntry[] {
    for (const [name, { heardAtMs }] of this.#entries) {
      if (nowMs - heardAtMs >= silenceMs) {
        this.#entries.delete(name);
      }
    }
    return [...this.#entries.values()];
  }
}
