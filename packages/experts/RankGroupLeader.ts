import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "./ExpertMap";
import type { RankGroupLeaderSettings } from "./RankGroupLeaderSettings";
import type { LeaderAction } from "./activation/LeaderAction";
import { LeaderActivation } from "./activation/LeaderActivation";
import { LeaderPhase } from "./activation/LeaderPhase";
import type { RankStatus } from "./activation/RankStatus";
import { computeRankLoads } from "./computeRankLoads";
import { computeSkew } from "./computeSkew";
import { createUniformSpeeds } from "./createUniformSpeeds";
import { findMapFault } from "./findMapFault";
import type { Forecast } from "./loads/Forecast";
import { LoadModel } from "./loads/LoadModel";
import type { StragglerReport } from "./loads/StragglerReport";
import { StragglerDetector } from "./loads/StragglerDetector";
import type { RankReport } from "./loads/RankReport";
import type { Plan } from "./planner/Plan";
import { getPlanHorizon } from "./planner/getPlanHorizon";
import { planMap } from "./planner/planMap";

interface LeaderTime {
  /** Monotonic time of the leader. */
  readonly nowMs: number;
  /** Time of day in the time zone of the busy hours. */
  readonly timeOfDayMs: number;
}

/**
 * Leader of a rank group: combines load model, planner and activation. The agent of the leading rank creates
 * it when elected, passes in received messages, and carries out the actions that `step` returns.
 */
export class RankGroupLeader {
  readonly #settings: RankGroupLeaderSettings;
  readonly #activation: LeaderActivation;
  readonly #model: LoadModel;
  readonly #stragglerDetector: StragglerDetector;
  readonly #incarnations = new Map<number, string>();
  #map: ExpertMap;
  #proposed: ExpertMap | null = null;
  #nextPlanAtMs: number;
  #lastPlan: Plan | null = null;
  #lastStragglerReport: StragglerReport | null = null;

  /** `map` is the active map, as reported by the ranks. */
  constructor(settings: RankGroupLeaderSettings, map: ExpertMap, leaseEndsAtMs: number) {
    this.#settings = settings;
    this.#map = map;
    this.#activation = new LeaderActivation(settings.lead, leaseEndsAtMs);
    this.#model = new LoadModel(settings.shape, map.version, settings.load);
    this.#stragglerDetector = new StragglerDetector(settings.shape.rankCount);
    this.#nextPlanAtMs = settings.lead.startAtMs + settings.planIntervalMs;
  }

  /** Last plan, for `group rebalance --dry-run`. */
  get lastPlan(): Plan | null {
    return this.#lastPlan;
  }

  get lastStragglerReport(): StragglerReport | null {
    return this.#lastStragglerReport;
  }

  get map(): ExpertMap {
    return this.#map;
  }

  get phase(): LeaderPhase {
    return this.#activation.phase;
  }

  /**
   * Active version whose map this leader lacks, after it completed the activation of an earlier leader; else
   * null.
   */
  get missingVersion(): number | null {
    const { activeVersion } = this.#activation;
    const isOwn = activeVersion === this.#proposed?.version || activeVersion === this.#map.version;
    return isOwn ? null : activeVersion;
  }

  /** Load reports dropped so far, by reason. */
  get droppedReports(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#model.faultCounts);
  }

  /** Adopts the map of `missingVersion`, as reported by the ranks. */
  adoptMap(map: ExpertMap): void {
    if (map.version === this.missingVersion && findMapFault(this.#settings.shape, map) === null) {
      this.#map = map;
      this.#model.setMapVersion(map.version);
    }
  }

  /** Plans with the present loads without proposing the resulting map. */
  preview({ nowMs, timeOfDayMs }: LeaderTime): Plan {
    this.#adoptSettledMap();
    this.#model.update(nowMs);
    const forecast = this.#model.predict(nowMs, nowMs + this.#settings.weights.horizonMs / 2);
    return this.#planWith(forecast, this.#lastStragglerReport, timeOfDayMs);
  }

  /** Makes the next `step` plan. Returns false while the leader activates a map or lacks the active one. */
  requestPlan(nowMs: number): boolean {
    this.#adoptSettledMap();
    if (!this.#canPlan()) {
      return false;
    }
    this.#nextPlanAtMs = nowMs;
    return true;
  }

  /** Present load of each rank with the active map, in tokens per second over all layers, and the skew. */
  getLoadView(nowMs: number): { readonly rankLoads: readonly number[]; readonly skew: number } {
    const { loads } = this.#model.predict(nowMs, nowMs);
    const speeds = this.#lastStragglerReport?.rankSpeeds ?? null;
    return {
      rankLoads: Array.from(this.#sumRankLoads(loads)),
      skew: computeSkew(this.#map, loads, this.#settings.shape.rankCount, speeds),
    };
  }

  renewLease(leaseEndsAtMs: number): void {
    this.#activation.renewLease(leaseEndsAtMs);
  }

  handleStatus(status: RankStatus): void {
    this.#activation.handleStatus(status);
  }

  handleReport(report: RankReport, nowMs: number): void {
    if (this.#model.addReport(report, nowMs) === null) {
      this.#incarnations.set(report.rank, report.incarnation);
    }
  }

  handleDecision(version: number, decision: MapDecision): void {
    this.#activation.handleDecision(version, decision);
  }

  /** Returns the actions that are due. Call after every event and on a timer. */
  step(time: LeaderTime): LeaderAction[] {
    this.#adoptSettledMap();
    if (this.#canPlan() && time.nowMs >= this.#nextPlanAtMs) {
      this.#nextPlanAtMs = time.nowMs + this.#settings.planIntervalMs;
      this.#plan(time);
    }
    return this.#activation.step(time.nowMs);
  }

  #canPlan(): boolean {
    return this.#activation.phase === LeaderPhase.Idle && this.missingVersion === null;
  }

  /**
   * A proposed map is active once the leader is idle again and the schedules of the ranks end with its
   * version.
   */
  #adoptSettledMap(): void {
    const proposed = this.#proposed;
    if (proposed === null || this.#activation.phase !== LeaderPhase.Idle) {
      return;
    }
    this.#proposed = null;
    if (this.#activation.activeVersion === proposed.version) {
      this.#map = proposed;
      this.#model.setMapVersion(proposed.version);
    }
  }

  #plan({ nowMs, timeOfDayMs }: LeaderTime): void {
    this.#model.update(nowMs);
    const forecast = this.#model.forecast(nowMs, nowMs + this.#settings.weights.horizonMs / 2);
    const advice = this.#stragglerDetector.assess(this.#createSamples(this.#sumRankLoads(forecast.loads)));
    const plan = this.#planWith(forecast, advice, timeOfDayMs);
    this.#lastPlan = plan;
    this.#lastStragglerReport = advice;
    const map = { ...plan.map, version: this.#activation.nextVersion };
    if (plan.isChanged && this.#activation.propose(map, nowMs)) {
      this.#proposed = map;
    }
  }

  #planWith({ loads, errorShare }: Forecast, advice: StragglerReport | null, timeOfDayMs: number): Plan {
    const { shape, weights, busyHours, storeBytesPerS, planIntervalMs } = this.#settings;
    const hour = timeOfDayMs / 3_600_000;
    return planMap({
      shape,
      present: this.#map,
      loads,
      errorShare,
      rankSpeeds: advice?.rankSpeeds ?? createUniformSpeeds(shape.rankCount),
      fixedRanks: advice?.slowRanks ?? new Set(),
      weights: { ...weights, horizonMs: getPlanHorizon(timeOfDayMs, weights.horizonMs, busyHours) },
      storeBytesPerS,
      maxBytes: (storeBytesPerS * planIntervalMs) / 1000,
      isBusy: busyHours.some(([first, end]) => hour >= first && hour < end),
    });
  }

  #sumRankLoads(loads: readonly Float64Array[]): Float64Array {
    const { rankCount } = this.#settings.shape;
    const rankLoads = new Float64Array(rankCount);
    for (const [index, layer] of this.#map.layers.entries()) {
      for (const [rank, load] of computeRankLoads(layer, loads[index] ?? [], rankCount).entries()) {
        rankLoads[rank] = (rankLoads[rank] ?? 0) + load;
      }
    }
    return rankLoads;
  }

  #createSamples(rankLoads: Float64Array) {
    return new Map(
      [...this.#model.stepMsByRank].map(([rank, stepMs]) => [
        rank,
        { incarnation: this.#incarnations.get(rank) ?? "", stepMs, load: rankLoads[rank] ?? 0 },
      ]),
    );
  }
}
