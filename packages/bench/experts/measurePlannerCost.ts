import { performance } from "node:perf_hooks";
import { createContiguousMap } from "@clementinemux/experts/baselines/createContiguousMap";
import { createUniformSpeeds } from "@clementinemux/experts/createUniformSpeeds";
import { planMap } from "@clementinemux/experts/planner/planMap";
import { ExpertDemand } from "@clementinemux/standins/group/ExpertDemand";

interface PlannerCost {
  readonly expertCount: number;
  readonly rankCount: number;
  readonly layerCount: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

const repeats = 30;

function measure(expertCount: number, rankCount: number, layerCount: number): PlannerCost {
  const slotsPerRank = expertCount / rankCount + 1;
  const shape = { rankCount, layerCount, expertCount, slotsPerRank, expertBytes: 44e6, failureDomains: [] };
  const times: number[] = [];
  for (let seed = 1; seed <= repeats; seed += 1) {
    const demand = new ExpertDemand({
      layerCount,
      expertCount,
      exponent: 1,
      driftAmplitude: 0,
      seed,
      flash: null,
    });
    const loads = Array.from({ length: layerCount }, (_, layer) => demand.getShares(layer, 0));
    const startedMs = performance.now();
    planMap({
      shape,
      present: createContiguousMap(shape, 1),
      loads,
      errorShare: 0,
      rankSpeeds: createUniformSpeeds(rankCount),
      fixedRanks: new Set(),
      weights: { skewWeight: 1, costWeight: 1, horizonMs: 600_000 },
      storeBytesPerS: 1e9,
      maxBytes: 1e12,
      isBusy: false,
    });
    times.push(performance.now() - startedMs);
  }
  times.sort((left, right) => left - right);
  const medianMs = times[repeats / 2] ?? 0;
  return { expertCount, rankCount, layerCount, medianMs, p99Ms: times.at(-1) ?? 0 };
}

/**
 * Measures planning time by experts, ranks and layers, from the contiguous map, which needs the longest
 * search.
 */
export function measurePlannerCost(): PlannerCost[] {
  const sizes = [
    [64, 32, 1],
    [128, 32, 1],
    [256, 32, 1],
    [512, 32, 1],
    [256, 8, 1],
    [256, 16, 1],
    [256, 64, 1],
    [256, 32, 4],
    [256, 32, 16],
    [256, 32, 58],
  ] as const;
  return sizes.map(([experts, ranks, layers]) => measure(experts, ranks, layers));
}
