import t from "tap";
import { RankGroupLeader } from "@clementinemux/experts/RankGroupLeader";
import { LeaderActionKind } from "@clementinemux/experts/activation/LeaderActionKind";
import { createContiguousMap } from "@clementinemux/experts/baselines/createContiguousMap";
import { createUniformSpeeds } from "@clementinemux/experts/createUniformSpeeds";
import { RankGroup } from "@clementinemux/standins/group/RankGroup";

const shape = {
  rankCount: 2,
  layerCount: 1,
  expertCount: 4,
  slotsPerRank: 3,
  expertBytes: 1e6,
  failureDomains: ["a", "a"],
};

// Guards against a leader whose plan does not reach the ranks, or that continues to plan from the previous
// map.
t.test("skewed load results in a new active map", (t) => {
  const startMap = createContiguousMap(shape, 0);
  const rankSpeeds = createUniformSpeeds(2);
  const group = new RankGroup({ shape, startMap, msPerToken: 0.01, rankSpeeds, orderMaxAgeMs: 500 });
  const settings = {
    shape,
    lead: {
      shape,
      epoch: 1,
      decidedVersion: 0,
      startAtMs: 0,
      activationTimeoutMs: 5000,
      armMarginSteps: 2,
    },
    load: { smoothingMs: 10_000, trendMs: 60_000, maxAgeMs: 10_000 },
    weights: { skewWeight: 1, costWeight: 1, horizonMs: 600_000 },
    busyHours: [],
    planIntervalMs: 10_000,
    storeBytesPerS: 1e9,
  };
  const leader = new RankGroupLeader(settings, startMap, Number.POSITIVE_INFINITY);
  const tokens = [Float64Array.from([600, 200, 100, 100])];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
    for (const [rank, activation] of group.ranks.entries()) {
      leader.handleStatus(activation.getStatus(nowMs));
      const report = { rank, incarnation: "1", mapVersion: leader.map.version, measuredAtMs: nowMs };
      leader.handleReport({ ...report, windowMs: 100, tokens, stepMs: 10 }, nowMs);
    }
    for (const action of leader.step({ nowMs, timeOfDayMs: nowMs })) {
      if (action.kind === LeaderActionKind.SendOrder) {
        group.ranks[action.order.rank]?.handle(action.order, nowMs);
      } else {
        leader.handleDecision(action.version, action.decision);
      }
    }
    group.completeWeightLoads();
    group.runStep(tokens);
  }
  const stepMs = group.runStep(tokens)?.stepMs ?? 0;
  t.ok(stepMs < 5.1, `step of ${stepMs} ms, 5 ms at best`);
  t.equal(group.mixedSteps, 0);
  t.ok(leader.map.version > 0);
  t.ok((leader.lastPlan?.presentSkew ?? 9) < 1.02, "the last plan starts from the new map");
  t.end();
});
