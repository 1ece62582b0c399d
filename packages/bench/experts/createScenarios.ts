import type { ExpertsScenario } from "./ExpertsScenario";

const hourMs = 3_600_000;
const topK = 8;
// Sampling noise alone causes about 2% skew at this batch size and 6% at 128, for any map.
const tokensPerRank = 1024;
const flash = { startMs: 18.5 * hourMs, endMs: 19 * hourMs, expertShare: 0.03, factor: 3 };

function createScenario(
  name: string,
  rankCount: number,
  expertCount: number,
  change: Partial<ExpertsScenario>,
): ExpertsScenario {
  const layerCount = 4;
  const failureDomains = Array.from({ length: rankCount }, () => "fd-1");
  return {
    name,
    shape: {
      rankCount,
      layerCount,
      expertCount,
      slotsPerRank: expertCount / rankCount + 1,
      expertBytes: 44e6,
      failureDomains,
    },
    weights: { skewWeight: 4, costWeight: 1, horizonMs: 600_000 },
    demand: { layerCount, expertCount, exponent: 0.9, driftAmplitude: 0.8, flash },
    busyHours: [],
    tokensPerStep: rankCount * tokensPerRank * topK,
    storeBytesPerS: 200e6,
    slowRank: null,
    ...change,
  };
}

/**
 * Creates the scenarios: the planning weights of both deployments at two group sizes, and one with a slow
 * rank.
 */
export function createScenarios(): ExpertsScenario[] {
  const weightsB = { skewWeight: 1, costWeight: 200, horizonMs: 600_000 };
  const deploymentB: Partial<ExpertsScenario> = {
    weights: weightsB,
    busyHours: [
      [11, 13],
      [18, 20],
    ],
  };
  return [
    createScenario("A-16", 16, 128, {}),
    createScenario("B-16", 16, 128, deploymentB),
    createScenario("A-32", 32, 256, {}),
    createScenario("B-32", 32, 256, deploymentB),
    createScenario("A-16-slow-rank", 16, 128, { slowRank: { rank: 5, speed: 0.7 } }),
  ];
}
