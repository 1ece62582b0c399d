import fc from "fast-check";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import type { GroupShape } from "@clementinemux/experts/GroupShape";
import { createContiguousMap } from "@clementinemux/experts/baselines/createContiguousMap";
import { createGreedyMap } from "@clementinemux/experts/baselines/createGreedyMap";
import { computeLowerBound } from "@clementinemux/experts/computeLowerBound";
import { computeSkew } from "@clementinemux/experts/computeSkew";
import { createUniformSpeeds } from "@clementinemux/experts/createUniformSpeeds";
import { findMapFault } from "@clementinemux/experts/findMapFault";
import type { PlanInput } from "@clementinemux/experts/planner/PlanInput";
import { PlanReason } from "@clementinemux/experts/planner/PlanReason";
import { getPlanHorizon } from "@clementinemux/experts/planner/getPlanHorizon";
import { planMap } from "@clementinemux/experts/planner/planMap";

function createShape(rankCount: number, perRank: number, layerCount: number): GroupShape {
  const expertCount = rankCount * perRank;
  const failureDomains = Array.from({ length: rankCount }, () => "fd-1");
  return { rankCount, layerCount, expertCount, slotsPerRank: perRank + 1, expertBytes: 44e6, failureDomains };
}

function createLoads(shape: GroupShape, exponent: number, seed: number): Float64Array[] {
  const random = createRandom(seed);
  return Array.from({ length: shape.layerCount }, () => {
    const order = Array.from({ length: shape.expertCount }, (_, index) => ({ index, key: random() }));
    order.sort((left, right) => left.key - right.key);
    return Float64Array.from(order, ({ index }) => 1000 / (index + 1) ** exponent);
  });
}

function createInput(shape: GroupShape, loads: Float64Array[], change: Partial<PlanInput> = {}): PlanInput {
  return {
    shape,
    present: createContiguousMap(shape, 1),
    loads,
    errorShare: 0,
    rankSpeeds: createUniformSpeeds(shape.rankCount),
    fixedRanks: new Set(),
    weights: { skewWeight: 1, costWeight: 1, horizonMs: 600_000 },
    storeBytesPerS: 1e9,
    maxBytes: 1e12,
    isBusy: false,
    ...change,
  };
}

const arbitraryCase = fc.record({
  rankCount: fc.integer({ min: 2, max: 8 }),
  perRank: fc.integer({ min: 1, max: 5 }),
  layerCount: fc.integer({ min: 1, max: 3 }),
  exponent: fc.double({ min: 0, max: 1.6, noNaN: true }),
  seed: fc.nat(1e6),
  costWeight: fc.constantFrom(0.01, 1, 100, 10_000),
  errorShare: fc.constantFrom(0, 0.02, 0.1),
  isBusy: fc.boolean(),
  fromGreedy: fc.boolean(),
  fixedRank: fc.option(fc.integer({ min: 0, max: 1 })),
  maxBytes: fc.constantFrom(0, 44e6, 440e6, 1e12),
});

// Guards against maps that lose an expert or overfill a rank, against plans that make things worse by their
// own objective, and against weights moved in busy hours or beyond the limit.
t.test("plans are valid and never worse", (t) => {
  const check = fc.property(arbitraryCase, (sample) => {
    const shape = createShape(sample.rankCount, sample.perRank, sample.layerCount);
    const loads = createLoads(shape, sample.exponent, sample.seed);
    const rankSpeeds = createUniformSpeeds(shape.rankCount);
    if (sample.fixedRank !== null) {
      rankSpeeds[sample.fixedRank] = 0.7;
    }
    const input = createInput(shape, loads, {
      present: sample.fromGreedy
        ? createGreedyMap(shape, createLoads(shape, 1, 3), 1)
        : createContiguousMap(shape, 1),
      rankSpeeds,
      fixedRanks: new Set(sample.fixedRank === null ? [] : [sample.fixedRank]),
      weights: { skewWeight: 1, costWeight: sample.costWeight, horizonMs: 600_000 },
      errorShare: sample.errorShare,
      isBusy: sample.isBusy,
      maxBytes: sample.maxBytes,
    });
    const plan = planMap(input);
    const value = input.weights.skewWeight * plan.savedMs - input.weights.costWeight * plan.delayedMs;
    return (
      findMapFault(shape, plan.map) === null &&
      value >= 0 &&
      plan.predictedSkew <= plan.presentSkew &&
      computeSkew(plan.map, loads, shape.rankCount, rankSpeeds) <= plan.presentSkew * (1 + 1e-9) &&
      (!input.isBusy || plan.bytes === 0) &&
      plan.bytes <= input.maxBytes &&
      plan.isChanged === (plan.map !== input.present)
    );
  });
  t.doesNotThrow(() => {
    fc.assert(check, { seed: 20_101, numRuns: 400 });
  });
  t.end();
});

// Guards against a search that stops far from the lower bound although loads are exact.
t.test("exact loads reach the bound", (t) => {
  for (const exponent of [0.6, 1, 1.3]) {
    const shape = createShape(32, 8, 2);
    const loads = createLoads(shape, exponent, 11);
    let input = createInput(shape, loads);
    for (let round = 0; round < 6; round += 1) {
      input = { ...input, present: planMap(input).map };
    }
    const ratio = computeSkew(input.present, loads, 32) / computeLowerBound(shape, loads);
    const greedy = computeSkew(createGreedyMap(shape, loads, 1), loads, 32) / computeLowerBound(shape, loads);
    t.comment(`exponent ${exponent}: ${ratio.toFixed(3)}, greedy ${greedy.toFixed(3)}`);
    t.ok(ratio <= 1.05, `exponent ${exponent}: ${ratio.toFixed(4)}`);
  }
  t.end();
});

// Guards against maps that alternate between two states on unchanged loads.
t.test("unchanged loads settle", (t) => {
  const shape = createShape(16, 4, 2);
  let input = createInput(shape, createLoads(shape, 1, 5), { errorShare: 0.02 });
  for (let round = 0; round < 12; round += 1) {
    input = { ...input, present: planMap(input).map };
  }
  t.equal(planMap(input).isChanged, false);
  t.end();
});

// Guards against loading weights when a change of the split reaches the same balance.
t.test("split comes before moves", (t) => {
  const shape = createShape(2, 2, 1);
  const loads = [Float64Array.from([90, 10, 50, 50])];
  const layer = { hosts: [[0, 1], [0], [1], [0]], shares: [[0.9, 0.1], [1], [1], [1]] };
  const plan = planMap(createInput(shape, loads, { present: { version: 1, layers: [layer] } }));
  t.equal(plan.reason, PlanReason.SplitOnly);
  t.equal(plan.bytes, 0);
  t.ok(plan.predictedSkew < 1.001);
  t.end();
});

// Guards against repeated moves off a rank that is slow regardless of its experts.
t.test("no weights move off a slow rank", (t) => {
  const shape = createShape(8, 4, 1);
  const loads = createLoads(shape, 0, 1);
  const rankSpeeds = createUniformSpeeds(8);
  rankSpeeds[3] = 0.6;
  const plan = planMap(createInput(shape, loads, { rankSpeeds, fixedRanks: new Set([3]) }));
  t.equal(plan.bytes, 0);
  t.end();
});

// Guards against plans before busy hours that ignore that no weights are moved until their end.
t.test("horizon extends over upcoming busy hours", (t) => {
  const hourMs = 3_600_000;
  const busyHours = [[18, 20]] as const;
  t.equal(getPlanHorizon(12 * hourMs, 600_000, busyHours), 600_000);
  t.equal(getPlanHorizon(18 * hourMs - 300_000, 600_000, busyHours), 2 * hourMs + 300_000);
  t.equal(getPlanHorizon(19 * hourMs, 600_000, busyHours), 600_000);
  t.end();
});
