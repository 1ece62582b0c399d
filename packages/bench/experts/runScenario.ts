import { createRandom } from "@clementinemux/common/createRandom";
import { MapPolicyName } from "@clementinemux/experts/baselines/MapPolicyName";
import { createGreedyMap } from "@clementinemux/experts/baselines/createGreedyMap";
import { computeLowerBound } from "@clementinemux/experts/computeLowerBound";
import { ExpertDemand } from "@clementinemux/standins/group/ExpertDemand";
import { sampleTokens } from "@clementinemux/standins/group/sampleTokens";
import type { ExpertsScenario } from "./ExpertsScenario";
import type { PolicyResult } from "./PolicyResult";
import { PolicyRun } from "./PolicyRun";

interface ScenarioResult {
  readonly scenario: string;
  readonly lowerBoundSkew: number;
  readonly policies: readonly PolicyResult[];
}

const dayMs = 24 * 3_600_000;
const tickMs = 60_000;
// Number of steps whose tokens one report covers.
const stepsPerWindow = 600;
const lostReportShare = 0.1;

/** Simulates the same day with every policy. Load reports are one tick old, and 10% of them are lost. */
export function runScenario(scenario: ExpertsScenario, seed: number): ScenarioResult {
  const { shape, tokensPerStep } = scenario;
  const demand = new ExpertDemand({ ...scenario.demand, seed });
  const random = createRandom(seed + 1);
  const layers = Array.from({ length: shape.layerCount }, (_, layer) => layer);
  const startShares = layers.map((layer) => demand.getShares(layer, 0));
  const startMap = createGreedyMap(shape, startShares, 0);
  const runs = Object.values(MapPolicyName).map(
    (name) => new PolicyRun(name, scenario, startMap, startShares),
  );
  let lowerBoundSum = 0;
  for (let nowMs = 0; nowMs < dayMs; nowMs += tickMs) {
    const shares = layers.map((layer) => demand.getShares(layer, nowMs));
    const tokens = shares.map((layer) => sampleTokens(layer, tokensPerStep, random));
    lowerBoundSum += computeLowerBound(shape, tokens);
    const rankTokens = (tokensPerStep / shape.rankCount) * stepsPerWindow;
    const reports = Array.from({ length: shape.rankCount }, (_, rank) => ({
      rank,
      tokens: shares.map((layer) => sampleTokens(layer, rankTokens, random)),
      measuredAtMs: nowMs - tickMs,
      windowMs: tickMs,
    })).filter(() => random() >= lostReportShare);
    for (const run of runs) {
      run.runStep(tokens, nowMs);
      run.addReports(reports, nowMs);
      run.plan(nowMs);
    }
  }
  const lowerBoundSkew = lowerBoundSum / (dayMs / tickMs);
  return {
    scenario: scenario.name,
    lowerBoundSkew,
    policies: runs.map((run) => run.getResult(lowerBoundSkew)),
  };
}
