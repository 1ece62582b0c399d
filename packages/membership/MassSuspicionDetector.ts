import type { FleetCounts } from "./FleetCounts";
import type { FailureDetectorSettings } from "./FailureDetectorSettings";
import type { WatchedTarget } from "./WatchedTarget";

interface MemberOfDomain {
  readonly target: string;
  readonly failureDomain: string;
}

interface RemovedTarget extends MemberOfDomain {
  readonly atMs: number;
}

/**
 * Detects that many targets became suspect within a window. The usual cause is a failed switch or an observer
 * that is cut off, rather than many processes that died at once.
 */
export class MassSuspicionDetector {
  readonly #settings: FailureDetectorSettings;
  /** Failure domains under mass suspicion. */
  readonly #active = new Map<string, { readonly sinceMs: number; lastMs: number }>();
  #removed: RemovedTarget[] = [];
  #suspectCounts: ReadonlyMap<string, number> = new Map();
  #totalCounts: ReadonlyMap<string, number> = new Map();
  #fleetLastActiveMs = -Infinity;
  #nowMs = 0;

  constructor(settings: FailureDetectorSettings) {
    this.#settings = settings;
  }

  /**
   * Counts a removed target for the rest of the window, so that removals one after another are bounded, too.
   */
  recordRemoval(target: string, failureDomain: string, nowMs: number): void {
    this.#removed.push({ target, failureDomain, atMs: nowMs });
  }

  /** Recounts the targets that are suspect or were removed within the window. */
  update(watched: readonly WatchedTarget[], counts: FleetCounts, nowMs: number): void {
    const { massWindowMs } = this.#settings;
    this.#nowMs = nowMs;
    const present = new Set(watched.map(({ target }) => target));
    this.#removed = this.#removed.filter(({ atMs }) => nowMs - atMs <= massWindowMs);
    const suspects = watched.filter(({ suspectSinceMs }) => suspectSinceMs !== null);
    // A target that was removed and is suspect again counts once.
    const distinct = new Map<string, MemberOfDomain>(
      [...this.#removed, ...suspects].map((each) => [each.target, each]),
    );
    const absent = new Map(this.#removed.map((each) => [each.target, each]));
    for (const target of present) {
      absent.delete(target);
    }
    this.#suspectCounts = countByDomain([...distinct.values()]);
    this.#totalCounts = addCounts(counts.countByDomain, countByDomain([...absent.values()]));
    for (const [domain, suspectCount] of this.#suspectCounts) {
      if (this.#exceedsLimit(suspectCount, this.#totalCounts.get(domain) ?? 0)) {
        this.#active.set(domain, { sinceMs: this.#active.get(domain)?.sinceMs ?? nowMs, lastMs: nowMs });
      }
    }
    for (const [domain, { lastMs }] of this.#active) {
      if (nowMs - lastMs > massWindowMs) {
        this.#active.delete(domain);
      }
    }
    if (this.#exceedsLimit(sum(this.#suspectCounts), sum(this.#totalCounts))) {
      this.#fleetLastActiveMs = nowMs;
    }
  }

  isActive(failureDomain: string): boolean {
    return this.#isFleetActive() || this.#active.has(failureDomain);
  }

  /**
   * Targets of a failure domain that stays unreachable may be removed one by one while the rest of the fleet
   * is healthy. When many targets outside the domain are suspect, too, the observers are the more likely
   * cause.
   */
  isRemovalAllowed(failureDomain: string, nowMs: number): boolean {
    const sinceMs = this.#active.get(failureDomain)?.sinceMs;
    const outsideSuspectCount = sum(this.#suspectCounts) - (this.#suspectCounts.get(failureDomain) ?? 0);
    const outsideCount = sum(this.#totalCounts) - (this.#totalCounts.get(failureDomain) ?? 0);
    return (
      sinceMs !== undefined &&
      nowMs - sinceMs >= this.#settings.massHoldMs &&
      outsideCount > 0 &&
      !this.#exceedsLimit(outsideSuspectCount, outsideCount)
    );
  }

  #isFleetActive(): boolean {
    return this.#nowMs - this.#fleetLastActiveMs <= this.#settings.massWindowMs;
  }

  #exceedsLimit(suspectCount: number, totalCount: number): boolean {
    return (
      suspectCount >= this.#settings.minMassCount &&
      suspectCount > totalCount * this.#settings.maxEjectedShare
    );
  }
}

function countByDomain(targets: readonly MemberOfDomain[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { failureDomain } of targets) {
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return counts;
}

function addCounts(
  left: ReadonlyMap<string, number>,
  right: ReadonlyMap<string, number>,
): Map<string, number> {
  const total = new Map(left);
  for (const [key, count] of right) {
    total.set(key, (total.get(key) ?? 0) + count);
  }
  return total;
}

function sum(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((total, count) => total + count, 0);
}
