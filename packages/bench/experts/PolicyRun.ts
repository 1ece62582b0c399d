import { performance } from "node:perf_hooks";
import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import { LeaderActivation } from "@clementinemux/experts/activation/LeaderActivation";
import type { MapPolicyName } from "@clementinemux/experts/baselines/MapPolicyName";
import { mapPolicies } from "@clementinemux/experts/baselines/mapPolicies";
import { computeRankLoads } from "@clementinemux/experts/computeRankLoads";
import { createUniformSpeeds } from "@clementinemux/experts/createUniformSpeeds";
import { LoadModel } from "@clementinemux/experts/loads/LoadModel";
import type { StragglerReport } from "@clementinemux/experts/loads/StragglerReport";
import { StragglerDetector } from "@clementinemux/experts/loads/StragglerDetector";
import { listMoves } from "@clementinemux/experts/planner/listMoves";
import { getPlanHorizon } from "@clementinemux/experts/planner/getPlanHorizon";
import { moveCosts } from "@clementinemux/experts/planner/moveCosts";
import { RankGroup } from "@clementinemux/standins/group/RankGroup";
import { WeightStore } from "@clementinemux/standins/weightStore/WeightStore";
import type { ExpertsScenario } from "./ExpertsScenario";
import type { PolicyResult } from "./PolicyResult";
import { activateInMemory } from "./activateInMemory";

interface WindowReport {
  readonly rank: number;
  readonly tokens: readonly Float64Array[];
  readonly measuredAtMs: number;
  readonly windowMs: number;
}

const dayMs = 24 * 3_600_000;
const seriesStepMs = 15 * 60_000;
const loadSettings = { smoothingMs: 240_000, trendMs: 1_800_000, maxAgeMs: 300_000 };

function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Simulates one map policy on a stand-in group over a day. */
export class PolicyRun {
  readonly #name: MapPolicyName;
  readonly #scenario: ExpertsScenario;
  readonly #model: LoadModel;
  readonly #detector: StragglerDetector;
  readonly #group: RankGroup;
  readonly #leader: LeaderActivation;
  readonly #store: WeightStore;
  readonly #speeds: Float64Array;
  readonly #skews: number[] = [];
  readonly #series: number[] = [];
  readonly #planMs: number[] = [];
  readonly #reportedRanks: number[] = [];
  #rankMs: Float64Array;
  #stragglerReport: StragglerReport | null = null;
  #map: ExpertMap;
  #pending: { readonly map: ExpertMap; readonly readyAtMs: number } | null = null;
  #nextPlanAtMs = 0;
  #delayedMs = 0;
  #mapChanges = 0;

  constructor(
    name: MapPolicyName,
    scenario: ExpertsScenario,
    startMap: ExpertMap,
    tokens: readonly Float64Array[],
  ) {
    const { shape } = scenario;
    this.#name = name;
    this.#scenario = scenario;
    this.#map = { ...startMap, version: 0 };
    this.#model = new LoadModel(shape, 0, loadSettings);
    this.#detector = new StragglerDetector(shape.rankCount);
    this.#store = new WeightStore(scenario.storeBytesPerS);
    this.#speeds = createUniformSpeeds(shape.rankCount);
    this.#rankMs = new Float64Array(shape.rankCount);
    const groupSettings = {
      shape,
      startMap: this.#map,
      msPerToken: 0.001,
      rankSpeeds: this.#speeds,
      orderMaxAgeMs: 500,
    };
    this.#group = new RankGroup(groupSettings);
    const leaderSettings = {
      shape,
      epoch: 1,
      decidedVersion: 0,
      startAtMs: 0,
      activationTimeoutMs: 60_000,
      armMarginSteps: 2,
    };
    this.#leader = new LeaderActivation(leaderSettings, Number.POSITIVE_INFINITY);
    activateInMemory(this.#leader, this.#group, null, tokens, 0);
  }

  /** Runs one step of the group and records the skew of its tokens. */
  runStep(tokens: readonly Float64Array[], nowMs: number): void {
    const { slowRank, shape } = this.#scenario;
    if (slowRank !== null) {
      this.#speeds[slowRank.rank] = nowMs >= dayMs / 2 ? slowRank.speed : 1;
    }
    this.#finishPending(tokens, nowMs);
    const result = this.#group.runStep(tokens);
    if (result === null) {
      throw new Error("rank group did not run the step");
    }
    const total = tokens.reduce((sum, layer) => sum + layer.reduce((part, count) => part + count, 0), 0);
    const skew = result.stepMs / ((total * 0.001) / shape.rankCount);
    this.#rankMs = result.rankMs;
    this.#skews.push(skew);
    if (nowMs % seriesStepMs === 0) {
      this.#series.push(skew);
    }
  }

  addReports(reports: readonly WindowReport[], nowMs: number): void {
    for (const report of reports) {
      const stepMs = this.#rankMs[report.rank] ?? 0;
      this.#model.addReport({ ...report, incarnation: "1", mapVersion: this.#map.version, stepMs }, nowMs);
    }
    this.#model.update(nowMs);
  }

  plan(nowMs: number): void {
    const policy = mapPolicies[this.#name];
    if (nowMs < this.#nextPlanAtMs || this.#pending !== null) {
      return;
    }
    this.#nextPlanAtMs = nowMs + policy.intervalMs;
    const { shape, weights, storeBytesPerS, busyHours } = this.#scenario;
    const forecast = this.#model.forecast(nowMs, nowMs + weights.horizonMs / 2);
    this.#assessRanks(forecast.loads);
    const hour = nowMs / 3_600_000;
    const startedMs = performance.now();
    const next = policy.getNextMap({
      shape,
      present: this.#map,
      loads: forecast.loads,
      errorShare: forecast.errorShare,
      rankSpeeds: this.#stragglerReport?.rankSpeeds ?? createUniformSpeeds(shape.rankCount),
      fixedRanks: this.#stragglerReport?.slowRanks ?? new Set<number>(),
      weights: { ...weights, horizonMs: getPlanHorizon(nowMs, weights.horizonMs, busyHours) },
      storeBytesPerS,
      maxBytes: (storeBytesPerS * policy.intervalMs) / 1000,
      isBusy: busyHours.some(([first, end]) => hour >= first && hour < end),
    });
    this.#planMs.push(performance.now() - startedMs);
    if (next !== this.#map) {
      const bytes = listMoves(shape, this.#map, next, storeBytesPerS).length * shape.expertBytes;
      const readyAtMs = this.#store.queueTransfer(bytes, nowMs);
      this.#delayedMs += (readyAtMs - nowMs) * moveCosts.interferenceShare + moveCosts.activationPauseMs;
      this.#mapChanges += 1;
      this.#pending = { map: next, readyAtMs };
    }
  }

  getResult(lowerBoundMean: number): PolicyResult {
    const skewMean = this.#skews.reduce((sum, skew) => sum + skew, 0) / this.#skews.length;
    return {
      policy: this.#name,
      skewMean,
      skewP99: getPercentile(this.#skews, 0.99),
      overLowerBound: skewMean / lowerBoundMean,
      movedGB: this.#store.sentBytes / 1e9,
      delayedWorkShare: this.#delayedMs / dayMs,
      mapChanges: this.#mapChanges,
      planP99Ms: getPercentile(this.#planMs, 0.99),
      mixedMapSteps: this.#group.mixedSteps,
      reportedRanks: this.#reportedRanks,
      skewSeries: this.#series,
    };
  }

  #finishPending(tokens: readonly Float64Array[], nowMs: number): void {
    if (this.#pending === null || nowMs < this.#pending.readyAtMs) {
      return;
    }
    const map = { ...this.#pending.map, version: this.#leader.nextVersion };
    if (!activateInMemory(this.#leader, this.#group, map, tokens, nowMs)) {
      throw new Error(`map ${map.version} was not activated`);
    }
    this.#map = map;
    this.#model.setMapVersion(map.version);
    this.#pending = null;
  }

  #assessRanks(loads: readonly Float64Array[]): void {
    const rankCount = this.#scenario.shape.rankCount;
    const rankLoads = new Float64Array(rankCount);
    for (const [index, layer] of this.#map.layers.entries()) {
      for (const [rank, load] of computeRankLoads(layer, loads[index] ?? [], rankCount).entries()) {
        rankLoads[rank] = (rankLoads[rank] ?? 0) + load;
      }
    }
    const samples = [...this.#model.stepMsByRank].map(
      ([rank, stepMs]) => [rank, { incarnation: "1", stepMs, load: rankLoads[rank] ?? 0 }] as const,
    );
    this.#stragglerReport = this.#detector.assess(new Map(samples));
    this.#reportedRanks.push(...this.#stragglerReport.reportForReplacement);
  }
}
