import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "./ExpertMap";
import type { GroupLeadSettings } from "./GroupLeadSettings";
import type { LeadAction } from "./activation/LeadAction";
import { LeadActivation } from "./activation/LeadActivation";
import { LeadPhase } from "./activation/LeadPhase";
import type { RankStatus } from "./activation/RankStatus";
import { computeRankLoads } from "./computeRankLoads";
import { LoadModel } from "./loads/LoadModel";
import type { RankAdvice } from "./loads/RankAdvice";
import { RankJudge } from "./loads/RankJudge";
import type { RankReport } from "./loads/RankReport";
import type { Plan } from "./planner/Plan";
import { getPlanHorizon } from "./planner/getPlanHorizon";
import { planMap } from "./planner/planMap";

interface LeadTime {
  /** Monotonic time of the lead. */
  readonly nowMs: number;
  /** Time of day in the time zone of the busy hours. */
  readonly timeOfDayMs: number;
}

/**
 * Lead of a rank group: load model, planner and activation together. The agent of the lead rank creates it when
 * elected, passes in what arrives, and carries out the actions that `step` returns.
 */
export class GroupLead {
  readonly #settings: GroupLeadSettings;
  readonly #activation: LeadActivation;
  readonly #model: LoadModel;
  readonly #judge: RankJudge;
  readonly #incarnations = new Map<number, string>();
  #map: ExpertMap;
  #proposed: ExpertMap | null = null;
  #nextPlanAtMs: number;
  #lastPlan: Plan | null = null;
  #lastAdvice: RankAdvice | null = null;

  /** `map` is the map in force, as the ranks hold it. */
  constructor(settings: GroupLeadSettings, map: ExpertMap, leaseEndsAtMs: number) {
    this.#settings = settings;
    this.#map = map;
    this.#activation = new LeadActivation(settings.lead, leaseEndsAtMs);
    this.#model = new LoadModel(settings.shape, map.version, settings.load);
    this.#judge = new RankJudge(settings.shape.rankCount);
    this.#nextPlanAtMs = settings.lead.startAtMs + settings.planIntervalMs;
  }

  /** Last plan, for `group rebalance --dry-run`. */
  get lastPlan(): Plan | null {
    return this.#lastPlan;
  }

  get lastAdvice(): RankAdvice | null {
    return this.#lastAdvice;
  }

  get map(): ExpertMap {
    return this.#map;
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

  /** Returns what is due. Call after every event and on a timer. */
  step(time: LeadTime): LeadAction[] {
    this.#adoptSettledMap();
    if (this.#activation.phase === LeadPhase.Idle && time.nowMs >= this.#nextPlanAtMs) {
      this.#nextPlanAtMs = time.nowMs + this.#settings.planIntervalMs;
      this.#plan(time);
    }
    return this.#activation.step(time.nowMs);
  }

  /** A proposed map is in force once the lead is idle again and the ranks' schedules end with it. */
  #adoptSettledMap(): void {
    const proposed = this.#proposed;
    if (proposed === null || this.#activation.phase !== LeadPhase.Idle) {
      return;
    }
    this.#proposed = null;
    if (this.#activation.activeVersion === proposed.version) {
      this.#map = proposed;
      this.#model.setMapVersion(proposed.version);
    }
  }

  #plan({ nowMs, timeOfDayMs }: LeadTime): void {
    const { shape, weights, busyHours, storeBytesPerS, planIntervalMs } = this.#settings;
    this.#model.update(nowMs);
    const { loads, errorShare } = this.#model.forecast(nowMs, nowMs + weights.horizonMs / 2);
    const advice = this.#judge.judge(this.#createSamples(loads));
    const hour = timeOfDayMs / 3_600_000;
    const plan = planMap({
      shape,
      present: this.#map,
      loads,
      errorShare,
      rankSpeeds: advice.rankSpeeds,
      fixedRanks: advice.slowRanks,
      weights: { ...weights, horizonMs: getPlanHorizon(timeOfDayMs, weights.horizonMs, busyHours) },
      storeBytesPerS,
      maxBytes: (storeBytesPerS * planIntervalMs) / 1000,
      isBusy: busyHours.some(([first, end]) => hour >= first && hour < end),
    });
    this.#lastPlan = plan;
    this.#lastAdvice = advice;
    const map = { ...plan.map, version: this.#activation.nextVersion };
    if (plan.isChanged && this.#activation.propose(map, nowMs)) {
      this.#proposed = map;
    }
  }

  #createSamples(loads: readonly Float64Array[]) {
    const { rankCount } = this.#settings.shape;
    const rankLoads = new Float64Array(rankCount);
    for (const [index, layer] of this.#map.layers.entries()) {
      for (const [rank, load] of computeRankLoads(layer, loads[index] ?? [], rankCount).entries()) {
        rankLoads[rank] = (rankLoads[rank] ?? 0) + load;
      }
    }
    return new Map(
      [...this.#model.stepMsByRank].map(([rank, stepMs]) => [
        rank,
        { incarnation: this.#incarnations.get(rank) ?? "", stepMs, load: rankLoads[rank] ?? 0 },
      ]),
    );
  }
}
