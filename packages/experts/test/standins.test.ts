import t from "tap";
import { createGreedyMap } from "@clementinemux/experts/baselines/createGreedyMap";
import { ExpertDemand } from "@clementinemux/standins/group/ExpertDemand";
import { WeightStore } from "@clementinemux/standins/weightStore/WeightStore";
import { runScenario } from "@clementinemux/bench/experts/runScenario";

// Guards against a stand-in store that exceeds its rate when requests queue.
t.test("weight store keeps its rate", (t) => {
  const store = new WeightStore(1000);
  t.equal(store.queueTransfer(500, 0), 500);
  t.equal(store.queueTransfer(500, 100), 1000);
  t.equal(store.queueTransfer(500, 2000), 2500);
  t.equal(store.sentBytes, 1500);
  t.end();
});

// Guards against benchmarks that are not reproducible, and against demand that does not drift.
t.test("demand is reproducible and drifts", (t) => {
  const settings = { layerCount: 1, expertCount: 8, exponent: 1, driftAmplitude: 0.8, seed: 3, flash: null };
  const first = new ExpertDemand(settings).getShares(0, 1000);
  t.same(first, new ExpertDemand(settings).getShares(0, 1000));
  t.notSame(first, new ExpertDemand(settings).getShares(0, 1e7));
  t.end();
});

// End-to-end: guards against a group that mixes maps, a planner that moves more than the recomputation, and a
// straggler that is not reported.
t.test("small group through a day", (t) => {
  const shape = {
    rankCount: 4,
    layerCount: 1,
    expertCount: 16,
    slotsPerRank: 5,
    expertBytes: 1e6,
    failureDomains: ["a", "a", "a", "a"],
  };
  t.equal(createGreedyMap(shape, [new Float64Array(16).fill(1)], 0).layers.length, 1);
  const { policies } = runScenario(
    {
      name: "small",
      shape,
      weights: { skewWeight: 4, costWeight: 1, horizonMs: 600_000 },
      demand: { layerCount: 1, expertCount: 16, exponent: 0.9, driftAmplitude: 0.8, flash: null },
      busyHours: [],
      tokensPerStep: 32_768,
      storeBytesPerS: 1e9,
      slowRank: { rank: 2, speed: 0.7 },
    },
    3,
  );
  const planner = policies.find(({ policy }) => policy === "planner")!;
  const greedy = policies.find(({ policy }) => policy === "greedy")!;
  t.ok(policies.every(({ mixedMapSteps }) => mixedMapSteps === 0));
  t.ok(planner.mapChanges > 0 && planner.movedGB < greedy.movedGB);
  t.same(planner.reportedRanks, [2]);
  t.end();
});
