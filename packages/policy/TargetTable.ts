import type { Counters } from "@clementinemux/metrics/Counters";
import { PolicyEvent } from "./PolicyEvent";
import type { TargetView } from "./TargetView";
import { TargetState } from "./TargetState";
import type { PrefixIndex } from "./routing/PrefixIndex";

/** A group with a higher skew is slow because of one rank, so late first tokens don't count as a failure. */
const slowGroupSkew = 1.2;
/** With fewer targets, ejecting one would remove more than a third of the capacity. */
const minTargetCountToEject = 3;

/**
 * Bound on the ratio of reported to own requests, which is unreliable while this entry has few requests.
 * Fleets with a larger ratio use subsets.
 */
const maxHerdRatio = 64;

/** The targets that this entry knows. Handles restarts, outlier ejection and error rates of groups. */
export class TargetTable {
  readonly #targets = new Map<string, TargetState>();
  readonly #prefixes: PrefixIndex;
  readonly #events: Counters<PolicyEvent>;
  readonly #groupErrorRates = new Map<string, number>();
  #isFirstView = true;
  #herdFactor = 1;

  constructor(prefixes: PrefixIndex, events: Counters<PolicyEvent>) {
    this.#prefixes = prefixes;
    this.#events = events;
  }

  get all(): IterableIterator<TargetState> {
    return this.#targets.values();
  }

  /**
   * Number of requests of all entries that one request of this entry represents; see
   * `TargetState.getLoadCount`.
   */
  get herdFactor(): number {
    return this.#herdFactor;
  }

  applyViews(views: readonly TargetView[], nowMs: number): void {
    const names = new Set(views.map(({ announcement }) => announcement.target));
    for (const name of this.#targets.keys()) {
      if (!names.has(name)) {
        this.#targets.delete(name);
        this.#prefixes.clear(name);
      }
    }
    for (const view of views) {
      this.#applyView(view, nowMs);
    }
    this.#isFirstView = false;
    this.#updateGroups(nowMs);
    this.#updateHerdFactor();
  }

  /** Error rate of the target's group, whose ranks run in lock-step and fail together; 0 without a group. */
  getGroupErrorRate(target: TargetState): number {
    return this.#groupErrorRates.get(target.view.announcement.group) ?? 0;
  }

  /**
   * Ejects targets that fail, or that are slow compared with their peers; at most the given share of all
   * targets.
   */
  ejectOutliers(maxEjectedShare: number, nowMs: number): void {
    const targets = [...this.#targets.values()];
    const outliers = this.#findOutliers(targets, nowMs);
    if (outliers.length === 0) {
      return;
    }
    const maxCount =
      targets.length < minTargetCountToEject ? 0 : Math.max(1, Math.floor(targets.length * maxEjectedShare));
    let ejectedCount = targets.filter(({ health }) => health.isEjected).length;
    for (const target of outliers) {
      if (ejectedCount >= maxCount) {
        this.#events.add(PolicyEvent.EjectionWithheld);
        return;
      }
      target.health.eject(nowMs);
      ejectedCount += 1;
      this.#events.add(PolicyEvent.Ejected);
    }
  }

  #findOutliers(targets: readonly TargetState[], nowMs: number): readonly TargetState[] {
    const ratios = targets.map(({ health }) => health.latencyRatio).sort((left, right) => left - right);
    const median = ratios[Math.floor(ratios.length / 2)] ?? 1;
    return targets
      .filter(({ health, view }) => {
        const isSlowGroup = (view.load?.groupSkew ?? 1) > slowGroupSkew;
        return health.shouldEject(isSlowGroup ? Number.POSITIVE_INFINITY : median, nowMs);
      })
      .sort((left, right) => right.health.getErrorRate(nowMs) - left.health.getErrorRate(nowMs));
  }

  #applyView(view: TargetView, nowMs: number): void {
    const { target, incarnation } = view.announcement;
    const known = this.#targets.get(target);
    if (known?.view.announcement.incarnation === incarnation) {
      known.setView(view, nowMs);
      return;
    }
    // Targets in the first view count as warm: this entry has restarted, the targets have not.
    const warmFromMs = this.#isFirstView ? Number.NEGATIVE_INFINITY : nowMs;
    this.#prefixes.clear(target);
    this.#targets.set(target, new TargetState(view, warmFromMs));
  }

  /**
   * The ratio of the reported load to this entry's own load shows how many entries use the targets. With
   * independent choices of the entries the factor would be 1, with identical ones the whole ratio; its square
   * root lies between.
   */
  #updateHerdFactor(): void {
    let reportedCount = 0;
    let ownCount = 0;
    for (const { view, inFlightCount } of this.#targets.values()) {
      reportedCount += view.load === null ? 0 : view.load.runningCount + view.load.queuedCount;
      ownCount += inFlightCount;
    }
    this.#herdFactor = Math.sqrt(Math.min(maxHerdRatio, Math.max(1, reportedCount / Math.max(1, ownCount))));
  }

  #updateGroups(nowMs: number): void {
    const rates = new Map<string, number[]>();
    for (const { view, health } of this.#targets.values()) {
      const { group } = view.announcement;
      if (group !== "") {
        rates.set(group, [...(rates.get(group) ?? []), health.getErrorRate(nowMs)]);
      }
    }
    this.#groupErrorRates.clear();
    for (const [group, values] of rates) {
      this.#groupErrorRates.set(group, values.reduce((sum, value) => sum + value, 0) / values.length);
    }
  }
}
