import fc from "fast-check";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { LeaderActivation } from "@clementinemux/experts/activation/LeaderActivation";
import { OrderFault } from "@clementinemux/experts/activation/OrderFault";
import { RankActivation } from "@clementinemux/experts/activation/RankActivation";
import { RankOrderKind } from "@clementinemux/experts/activation/RankOrderKind";
import { SimulatedActivation } from "./SimulatedActivation";

// Only reached if the test hangs.
t.setTimeout(90_000);

/**
 * Weights of the events. Most are rounds without loss, since random events alone rarely result in an
 * activation.
 */
const weights = {
  runRound: 120,
  runLossyRound: 40,
  thaw: 10,
  deliverOne: 14,
  dropOne: 4,
  repeatOne: 2,
  deliverAll: 6,
  sendStatuses: 5,
  stepLeaders: 8,
  runStep: 6,
  finishLoads: 5,
  propose: 4,
  renewOrElect: 6,
  advance: 6,
  stall: 1,
  toggleLeader: 2,
  toggleRank: 2,
  crashLeader: 2,
  crashRank: 1,
} as const;

type EventName = keyof typeof weights;

function runEvent(world: SimulatedActivation, name: EventName, value: number): void {
  const rankEvents: Partial<Record<EventName, () => void>> = {
    finishLoads: () => {
      world.finishLoads(value % 3);
    },
    toggleRank: () => {
      world.toggleRank(value % 3);
    },
    crashRank: () => {
      world.crashRank(value % 3);
    },
    deliverOne: () => {
      world.deliver("once");
    },
    dropOne: () => {
      world.deliver("drop");
    },
    repeatOne: () => {
      world.deliver("keep");
    },
    advance: () => {
      world.advance(20 + (value % 80));
    },
    stall: () => {
      world.advance(300 + (value % 900));
    },
  };
  const run =
    rankEvents[name] ??
    (() => {
      world[name as "runRound"]();
    });
  run();
}

function runSchedule(values: readonly number[], ignoreLeases: boolean): SimulatedActivation {
  const world = new SimulatedActivation(createRandom(values.length + (values[0] ?? 0)), ignoreLeases);
  // Leases protect a rank that has lost its epochs in a restart; this mode has no leases.
  const names = (Object.keys(weights) as EventName[]).filter((name) => !ignoreLeases || name !== "crashRank");
  const weightedNames = names.flatMap((name) => new Array<EventName>(weights[name]).fill(name));
  for (const value of values) {
    runEvent(world, weightedNames[value % weightedNames.length]!, Math.floor(value / weightedNames.length));
    if (world.violations.length > 0) {
      return world;
    }
  }
  return world;
}

// Activations and steps are counted before the recovery, which would otherwise hide runs without any.
function checkSchedules(seed: number, numRuns: number, ignoreLeases: boolean) {
  const totals = { activated: 0, steps: 0 };
  const schedules = fc.array(fc.nat(1e6), { minLength: 400, maxLength: 1200, size: "max" });
  const property = fc.property(schedules, (values) => {
    const world = runSchedule(values, ignoreLeases);
    totals.activated += world.activatedCount;
    totals.steps += world.completedSteps;
    const recovers = world.violations.length > 0 || world.recovers();
    if (world.violations.length > 0 || !recovers) {
      throw new Error(world.violations[0] ?? "the group did not recover");
    }
  });
  fc.assert(property, { seed, numRuns, endOnFailure: true });
  return totals;
}

// Guards against ranks with different maps in one step (I1), and against a group that does not recover.
// Faults: lost, delayed, duplicate and reordered messages, crashed and frozen ranks and leaders, lost
// responses of the weight store.
t.test("all ranks use one map in every step", (t) => {
  const totals = checkSchedules(20_103, 600, false);
  t.comment(`${totals.activated} maps activated, ${totals.steps} steps`);
  t.ok(totals.activated > 600 && totals.steps > 600 * 20);
  t.end();
});

// Guards I1 against an old leader that gets fresh stamps and has not noticed that its lease has ended.
t.test("an old leader changes nothing", (t) => {
  const totals = checkSchedules(20_104, 600, true);
  t.comment(`${totals.activated} maps activated, ${totals.steps} steps`);
  t.ok(totals.activated > 600);
  t.end();
});

const shape = {
  rankCount: 1,
  layerCount: 1,
  expertCount: 2,
  slotsPerRank: 2,
  expertBytes: 1,
  failureDomains: ["a"],
};
const stamp = { incarnation: "1", atMs: 0 };
const incompleteMap = { version: 2, layers: [{ hosts: [[0], []], shares: [[1], []] }] };

// Guards against activating a map that lacks an expert; both the leader and the rank check it.
t.test("incomplete map is rejected", (t) => {
  const rank = new RankActivation({ rank: 0, incarnation: "1", shape, orderMaxAgeMs: 500 });
  const schedule = [{ version: 0, fromStep: 0 }];
  t.equal(rank.handle({ kind: RankOrderKind.Join, epoch: 1, rank: 0, stamp, schedule }, 0), null);
  const order = { kind: RankOrderKind.Prepare, epoch: 1, rank: 0, stamp, map: incompleteMap } as const;
  t.equal(rank.handle(order, 0), OrderFault.MapInvalid);
  const settings = {
    shape,
    epoch: 1,
    decidedVersion: 0,
    startAtMs: 0,
    activationTimeoutMs: 1000,
    armMarginSteps: 2,
  };
  const leader = new LeaderActivation(settings, 1000);
  t.equal(leader.propose(incompleteMap, 0), false);
  t.end();
});

// Guards against orders that arrive after a new leader has taken over, or that were sent to an earlier
// incarnation.
t.test("late and misdirected orders are rejected", (t) => {
  const rank = new RankActivation({ rank: 0, incarnation: "1", shape, orderMaxAgeMs: 500 });
  const order = { kind: RankOrderKind.Query, epoch: 2, rank: 0, stamp } as const;
  t.equal(rank.handle(order, 501), OrderFault.StampTooOld);
  t.equal(rank.handle({ ...order, stamp: { incarnation: "0", atMs: 0 } }, 0), OrderFault.OtherIncarnation);
  t.equal(rank.handle(order, 0), null);
  t.equal(rank.handle({ ...order, epoch: 1 }, 0), OrderFault.OldEpoch);
  t.end();
});
