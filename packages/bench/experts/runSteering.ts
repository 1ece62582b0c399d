import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import { createGreedyMap } from "@clementinemux/experts/baselines/createGreedyMap";
import { computeRankLoads } from "@clementinemux/experts/computeRankLoads";
import { createUniformSpeeds } from "@clementinemux/experts/createUniformSpeeds";
import type { SteeringStream } from "@clementinemux/experts/planner/SteeringStream";
import { planMap } from "@clementinemux/experts/planner/planMap";
import { steerStreams } from "@clementinemux/experts/planner/steerStreams";
import { ExpertDemand } from "@clementinemux/standins/group/ExpertDemand";
import type { ExpertsScenario } from "./ExpertsScenario";

interface SteeringResult {
  readonly lever: string;
  /**
   * Mean step time of the groups over the day, relative to that with the load spread equally over all ranks.
   */
  readonly stepMean: number;
  /** The same ratio for the slowest group of each tick. */
  readonly slowestMean: number;
  readonly movedGB: number;
}

interface Lever {
  readonly name: string;
  readonly plans: boolean;
  readonly steers: boolean;
}

const dayMs = 24 * 3_600_000;
const tickMs = 15 * 60_000;
const groupCount = 4;
// Share of each stream in the load: a few large teams and several small ones.
const streamWeights = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05] as const;
// Group that serves most of each stream at the start. With equal maps and shares, steering has no effect.
const homeGroups = [0, 1, 2, 3, 3, 2, 1, 3] as const;
const homeShare = 0.55;
// Share of a stream's load that follows its own expert popularity; the rest follows a common one.
const ownShare = 0.5;
const errorShare = 0.02;
const levers: readonly Lever[] = [
  { name: "none", plans: false, steers: false },
  { name: "steering", plans: false, steers: true },
  { name: "planner", plans: true, steers: false },
  { name: "both", plans: true, steers: true },
];

/**
 * Simulates a day of four groups that serve the same model, with each combination of levers. Plans and shares
 * use the loads of the previous tick. Loads are exact, so that sampling noise hides no effect.
 */
export function runSteering(scenario: ExpertsScenario, seed: number): SteeringResult[] {
  return levers.map((lever) => runLever(scenario, seed, lever));
}

function createStreamLoads(scenario: ExpertsScenario, seed: number): (atMs: number) => Float64Array[][] {
  const { shape, tokensPerStep, demand } = scenario;
  const common = new ExpertDemand({ ...demand, seed });
  const own = streamWeights.map((_, index) => new ExpertDemand({ ...demand, seed: seed + 1 + index }));
  return (atMs) =>
    streamWeights.map((weight, index) =>
      Array.from({ length: shape.layerCount }, (_, layer) => {
        const ownShares = own[index]?.getShares(layer, atMs);
        const tokens = weight * tokensPerStep * groupCount;
        return common
          .getShares(layer, atMs)
          .map((share, expert) => tokens * ((1 - ownShare) * share + ownShare * (ownShares?.[expert] ?? 0)));
      }),
    );
}

function sumGroupLoads(streams: readonly SteeringStream[], group: number): Float64Array[] {
  const layerCount = streams[0]?.loads.length ?? 0;
  return Array.from({ length: layerCount }, (_, layer) => {
    const sums = new Float64Array(streams[0]?.loads[layer]?.length ?? 0);
    for (const { loads, shares } of streams) {
      for (const [expert, load] of (loads[layer] ?? []).entries()) {
        sums[expert] = (sums[expert] ?? 0) + load * (shares[group] ?? 0);
      }
    }
    return sums;
  });
}

function getStepTime(map: ExpertMap, loads: readonly Float64Array[], rankCount: number): number {
  return map.layers.reduce(
    (sum, layer, index) => sum + Math.max(...computeRankLoads(layer, loads[index] ?? [], rankCount)),
    0,
  );
}

function runLever(scenario: ExpertsScenario, seed: number, lever: Lever): SteeringResult {
  const { shape, tokensPerStep, weights, storeBytesPerS } = scenario;
  const getLoads = createStreamLoads(scenario, seed);
  const groups = Array.from({ length: groupCount }, (_, group) => group);
  const createStreams = (atMs: number, shares: readonly (readonly number[])[]): SteeringStream[] =>
    getLoads(atMs).map((loads, index) => ({ name: String(index), loads, shares: shares[index] ?? [] }));
  let shares: readonly (readonly number[])[] = homeGroups.map((home) =>
    groups.map((group) => (group === home ? homeShare : (1 - homeShare) / (groupCount - 1))),
  );
  let streams = createStreams(0, shares);
  let maps = groups.map((group) => createGreedyMap(shape, sumGroupLoads(streams, group), 0));
  const idealTime = (tokensPerStep * shape.layerCount) / shape.rankCount;
  let [sum, slowestSum, bytes] = [0, 0, 0];
  for (let nowMs = tickMs; nowMs < dayMs; nowMs += tickMs) {
    if (lever.steers) {
      shares = steerStreams(
        maps.map((map) => ({ map, rankCount: shape.rankCount })),
        streams,
      );
      streams = streams.map((stream, index) => ({ ...stream, shares: shares[index] ?? [] }));
    }
    if (lever.plans) {
      maps = maps.map((present, group) => {
        const plan = planMap({
          ...{ shape, present, loads: sumGroupLoads(streams, group), errorShare, weights },
          ...{ rankSpeeds: createUniformSpeeds(shape.rankCount), fixedRanks: new Set<number>() },
          storeBytesPerS: storeBytesPerS / groupCount,
          maxBytes: ((storeBytesPerS / groupCount) * tickMs) / 1000,
          isBusy: false,
        });
        bytes += plan.bytes;
        return plan.map;
      });
    }
    streams = createStreams(nowMs, shares);
    const times = groups.map((group) =>
      getStepTime(maps[group] ?? { version: 0, layers: [] }, sumGroupLoads(streams, group), shape.rankCount),
    );
    sum += times.reduce((total, time) => total + time, 0) / groupCount / idealTime;
    slowestSum += Math.max(...times) / idealTime;
  }
  const tickCount = dayMs / tickMs - 1;
  return {
    lever: lever.name,
    stepMean: sum / tickCount,
    slowestMean: slowestSum / tickCount,
    movedGB: bytes / 1e9,
  };
}
