import t from "tap";
import type { Random } from "@clementinemux/common/Random";
import { createRandom } from "@clementinemux/common/createRandom";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { measureSkew } from "@clementinemux/experts/hold/measureSkew";
import { planBalancedMap } from "@clementinemux/experts/hold/planBalancedMap";

const sets = 4;
const experts = 64;
const ranks = 16;
const slowdowns = Array.from({ length: ranks }, () => 1);
const limits = { paces: slowdowns, placements: 5, spare: 2, goalSkew: 1.2 };
/** Time to copy one expert, and time of all other parts of an activation. */
const copyMs = 111;
const activationMs = 240;
/** Skew above which streams miss their objective. */
const lateSkew = 1.8;

/** Loads in which the hottest expert is chosen about ten times as often as the mean. */
function createLoads(random: Random): Float64Array[] {
  return Array.from({ length: sets }, () => {
    const order = Array.from({ length: experts }, (_, expert) => expert).sort(() => random() - 0.5);
    const loads = new Float64Array(experts);
    order.forEach((expert, position) => {
      loads[expert] = 1000 / (position + 1);
    });
    return loads;
  });
}

function balance(loads: readonly Float64Array[]): RankHosting {
  let present: RankHosting = createRoundRobinHosting(sets, experts, ranks);
  for (let round = 0; round < 12; round += 1) {
    present = planBalancedMap({ ...limits, present, loads, maxNewPerRank: 4 }).hosting;
  }
  return present;
}

/** Plans until the load is balanced; returns the time during which the skew makes streams late. */
function simulate(start: RankHosting, loads: readonly Float64Array[], maxUrgent: number): number {
  let present = start;
  let lateMs = 0;
  for (let round = 0; round < 8; round += 1) {
    const skew = measureSkew(present, loads, slowdowns);
    const plan = planBalancedMap({
      ...limits,
      present,
      loads,
      maxNewPerRank: skew > lateSkew ? maxUrgent : 4,
    });
    lateMs += skew > lateSkew ? activationMs + plan.newPerRank * copyMs : 0;
    present = plan.hosting;
  }
  return lateMs;
}

// Guards against plans that copy all experts before the first of them takes load after a shift of demand.
t.test("several small plans serve a shift of demand sooner than a single one", (t) => {
  const random = createRandom(11);
  let stagedMs = 0;
  let wholeMs = 0;
  for (let shift = 0; shift < 10; shift += 1) {
    const start = balance(createLoads(random));
    const loads = createLoads(random);
    t.ok(measureSkew(start, loads, slowdowns) > lateSkew);
    stagedMs += simulate(start, loads, 1);
    wholeMs += simulate(start, loads, 4);
  }
  t.ok(stagedMs < wholeMs, `${Math.round(stagedMs / 10)} ms against ${Math.round(wholeMs / 10)} ms a shift`);
  t.comment(`${Math.round(stagedMs / 10)} ms against ${Math.round(wholeMs / 10)} ms a shift`);
  t.end();
});
