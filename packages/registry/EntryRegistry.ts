import type { EntryRecord } from "./EntryRecord";
import type { WaitingDemand } from "./WaitingDemand";
import { sumRemainingWork } from "./sumRemainingWork";

interface KnownEntry {
  readonly entry: EntryRecord;
  readonly lastSeenAtMs: number;
  /** Coordinator to which the entry reports; null for this one. */
  readonly via: string | null;
}

/** An entry without a report for this long is removed. Entries report five times per second. */
const entryTimeoutMs = 1500;

/**
 * An entry without a report for this long is listed only if there are too few others. A caller caches an
 * address for two seconds, and waits for about as long on a stalled entry.
 */
const staleAfterMs = 900;

/** Live entries and their requests in flight. Has no I/O and takes the current time as a parameter. */
export class EntryRegistry {
  readonly #entries = new Map<string, KnownEntry>();

  put(entry: EntryRecord, lastSeenAtMs: number, via: string | null): void {
    const known = this.#entries.get(entry.name);
    if (known === undefined || lastSeenAtMs >= known.lastSeenAtMs) {
      this.#entries.set(entry.name, { entry, lastSeenAtMs, via });
    }
  }

  /**
   * Addresses of ready entries for a caller: those in its failure domain if at least `minCount` of them have
   * reported recently, else all that have reported recently if these are enough, else all.
   */
  listAddresses(failureDomain: string, minCount: number, nowMs: number): string[] {
    const ready = this.#listLive(nowMs).filter(({ entry }) => entry.isReady);
    const recent = ready.filter(({ lastSeenAtMs }) => nowMs - lastSeenAtMs < staleAfterMs);
    const near = recent.filter(({ entry }) => entry.failureDomain === failureDomain);
    const selected = [near, recent].find((entries) => entries.length >= minCount) ?? ready;
    return selected.map(({ entry }) => entry.address);
  }

  /** Failure domains of the entries that are live. */
  listFailureDomains(nowMs: number): string[] {
    return this.#listLive(nowMs).map(({ entry }) => entry.failureDomain);
  }

  countLive(nowMs: number): number {
    return this.#listLive(nowMs).length;
  }

  /** Requests in flight by target, summed over all entries except `except`. */
  sumInFlight(except: string, nowMs: number): Record<string, number> {
    const sums = new Map<string, number>();
    for (const { entry } of this.#listLive(nowMs)) {
      if (entry.name !== except) {
        for (const [id, count] of Object.entries(entry.inFlight)) {
          sums.set(id, (sums.get(id) ?? 0) + count);
        }
      }
    }
    return Object.fromEntries(sums);
  }

  /** Requests that wait for a slot by service and priority, summed over all entries except `except`. */
  sumWaiting(except: string, nowMs: number): WaitingDemand {
    const sums = new Map<string, Map<string, number>>();
    const others = this.#listLive(nowMs).filter(({ entry }) => entry.name !== except);
    for (const [service, counts] of others.flatMap(({ entry }) => Object.entries(entry.waiting ?? {}))) {
      const known = sums.get(service) ?? new Map<string, number>();
      sums.set(service, known);
      for (const [priority, count] of Object.entries(counts)) {
        known.set(priority, (known.get(priority) ?? 0) + count);
      }
    }
    return Object.fromEntries([...sums].map(([service, counts]) => [service, Object.fromEntries(counts)]));
  }

  /**
   * Remaining work by target in hundredths of a second, in the order of `ids`, over the entries that
   * `sumInFlight` counts. Requests of entries that do not report it count with the mean of the others. Null if
   * no entry reports it.
   */
  sumRemaining(except: string, ids: readonly string[], nowMs: number): number[] | null {
    const others = this.#listLive(nowMs).filter(({ entry }) => entry.name !== except);
    return sumRemainingWork(
      others.map(({ entry }) => entry),
      ids,
    );
  }

  /** Entries that report directly to this coordinator, with the age of their last report. */
  listDirect(nowMs: number): { readonly entry: EntryRecord; readonly ageMs: number }[] {
    return this.#listLive(nowMs)
      .filter(({ via }) => via === null)
      .map(({ entry, lastSeenAtMs }) => ({ entry, ageMs: nowMs - lastSeenAtMs }));
  }

  #listLive(nowMs: number): KnownEntry[] {
    for (const [name, { lastSeenAtMs }] of this.#entries) {
      if (nowMs - lastSeenAtMs >= entryTimeoutMs) {
        this.#entries.delete(name);
      }
    }
    return [...this.#entries.values()];
  }
}
