import fc from "fast-check";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FleetLimiter } from "@clementinemux/control/limits/FleetLimiter";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import { LimiterModel } from "./LimiterModel";
import { findMaxWindow } from "./findMaxWindow";

const windowMs = 4000;
const target = { id: "t", bornMs: 1 };

/** The stated bound for requests to a target in any 4 s. */
function getBound(limitPerS: number): number {
  return 1.5 * limitPerS * 4 + 5;
}

function createLimiter(limitPerS: number): FleetLimiter {
  const table = new LimitTable();
  table.note(target, limitPerS, 0);
  return new FleetLimiter(table);
}

t.test("no target gets more than its limit allows, whatever happens to leaders and senders", (t) => {
  const disruption = fc.record({
    kind: fc.constantFrom("elect", "restart", "cut", "limit", "calm"),
    gapMs: fc.integer({ min: 20, max: 3000 }),
    limitPerS: fc.constantFrom(0, 0.3, 1.4, 5, 40),
  });
  const run = fc.record({
    seed: fc.integer(),
    senders: fc.constantFrom(3, 20, 350),
    targets: fc.integer({ min: 1, max: 3 }),
    demandPerS: fc.constantFrom(0.5, 5, 40),
    maxDelayMs: fc.constantFrom(2, 50, 200),
    lostShare: fc.constantFrom(0, 0.2),
    limitPerS: fc.constantFrom(0.3, 1.4, 5, 40),
    disruptions: fc.array(disruption, { maxLength: 8 }),
  });
  const check = fc.property(run, ({ seed, limitPerS, disruptions, ...options }) => {
    const model = new LimiterModel({ ...options, random: createRandom(seed) }, limitPerS);
    let limit: number = limitPerS;
    let elections = 0;
    model.run(5000);
    for (const { kind, gapMs, limitPerS: next } of disruptions) {
      // A window holds at most two elections, as each takes a timeout and a lease.
      const isElected = kind === "elect" && elections < 2;
      elections += isElected ? 1 : 0;
      if (isElected) {
        model.electLeader();
      } else if (kind === "restart") {
        model.restartSender(0);
      } else if (kind === "limit") {
        limit = Math.max(limit, next);
        model.limits.fill(next);
      }
      model.setCut(kind === "cut");
      model.run(gapMs);
    }
    return model.arrivals.every((arrivals) => findMaxWindow(arrivals, windowMs) <= getBound(limit));
  });
  fc.assert(check, { numRuns: 60, seed: 50 });
  t.end();
});

t.test("a limit is used when there is enough demand", (t) => {
  for (const [senders, limitPerS] of [
    [3, 1.4],
    [350, 1.4],
    [350, 40],
  ] as const) {
    const options = { senders, targets: 2, demandPerS: 20, maxDelayMs: 20, lostShare: 0 };
    const model = new LimiterModel({ ...options, random: createRandom(1) }, limitPerS);
    model.run(20_000);
    for (const { length } of model.arrivals) {
      t.ok(length >= 0.8 * limitPerS * 20, `${length} of ${limitPerS * 20} by ${senders} senders`);
      t.ok(length <= 1.05 * limitPerS * 20 + 1);
    }
  }
  t.end();
});

t.test("permits follow each other at the interval of the limit and start empty", (t) => {
  const limiter = createLimiter(2);
  const take = (maxWaitMs: number, nowMs: number, term = 1) =>
    limiter.take({ targets: [target], maxWaitMs }, term, nowMs);
  t.same(take(0, 0), { target: null, startInMs: 0, freeInMs: { t: 500 } });
  t.same(take(600, 0), { target: "t", startInMs: 500, freeInMs: { t: 1000 } });
  t.same(take(600, 0).target, null, "promised already");
  t.same(take(0, 1000).target, "t");
  t.same(take(0, 60_000).target, "t");
  t.same(take(0, 60_000).target, null, "idle time is not saved up");
  t.same(take(0, 90_000, 2).target, null, "a new leader starts without permits");
  t.same(take(0, 90_500, 2).target, "t");
  t.end();
});

t.test("a limit of 0 grants nothing, and a raised limit applies to the next permit", (t) => {
  const table = new LimitTable();
  table.note(target, 0, 0);
  const limiter = new FleetLimiter(table);
  t.same(limiter.take({ targets: [target], maxWaitMs: 1000 }, 1, 60_000), {
    target: null,
    startInMs: 0,
    freeInMs: { t: null },
  });
  table.note(target, 10, 60_000);
  t.same(limiter.take({ targets: [target], maxWaitMs: 0 }, 1, 60_100).target, "t");
  t.end();
});

// Guards against a gateway that still lists a target's earlier incarnation and gets permits without a limit, or frees the schedule.
t.test("asks for an earlier incarnation get no permit and leave the schedule as it is", (t) => {
  const table = new LimitTable();
  const limiter = new FleetLimiter(table);
  const restarted = { ...target, bornMs: 2 };
  table.note(restarted, 1.4, 0);
  const grants = { later: 0, earlier: 0 };
  for (let nowMs = 0; nowMs < windowMs; nowMs += 20) {
    const isGranted = (asked: typeof target): number =>
      limiter.take({ targets: [asked], maxWaitMs: 0 }, 1, nowMs).target === null ? 0 : 1;
    grants.later += isGranted(restarted);
    grants.earlier += isGranted(target);
  }
  t.ok(grants.later >= 4 && grants.later <= 6, `${grants.later} permits`);
  t.equal(grants.earlier, 0);
  t.end();
});

// Guards against promises that are forgotten since the leader does not list the target, or in its earlier incarnation.
t.test("the schedule of a target that is not listed is kept", (t) => {
  const limiter = new FleetLimiter(new LimitTable());
  const lists = [[], [target], [{ ...target, bornMs: 0 }]];
  let grants = 0;
  for (let nowMs = 0; nowMs < windowMs; nowMs += 50) {
    limiter.retain(lists[nowMs % 3] ?? [], nowMs);
    const ask = { targets: [target], maxWaitMs: 1000 };
    grants += limiter.take(ask, 1, nowMs, () => 2).target === null ? 0 : 1;
  }
  t.ok(grants <= 11, `${grants} permits at 2 per second in 4 s, promised for 1 s ahead`);
  t.end();
});

t.test("of a stated limit and the rate of a cold target, the lower one applies", (t) => {
  const limiter = createLimiter(5);
  const getFreeInMs = (coldPerS: number | null): unknown =>
    limiter.take({ targets: [target], maxWaitMs: 0 }, 1, 0, () => coldPerS).freeInMs.t;
  t.equal(getFreeInMs(2), 500);
  t.equal(getFreeInMs(10), 200);
  t.equal(getFreeInMs(null), 200);
  t.equal(getFreeInMs(0), null);
  t.end();
});

t.test("a statement that was on its way does not raise a lower limit", (t) => {
  const table = new LimitTable();
  table.note(target, 1.4, 1000);
  t.same(table.merge([{ ...target, limitPerS: 20, ageMs: 0 }], 1300), []);
  t.equal(table.getLimitPerS(target), 1.4);
  t.equal(table.merge([{ ...target, limitPerS: 20, ageMs: 0 }], 1500).length, 1);
  t.equal(table.merge([{ ...target, limitPerS: 0.5, ageMs: 0 }], 1510).length, 1);
  t.equal(table.getLimitPerS(target), 0.5);
  t.end();
});

t.test("the newest statement about a limit applies, and it ends with the incarnation", (t) => {
  const table = new LimitTable();
  t.ok(table.note(target, 1.5, 1000));
  t.notOk(table.note(target, 1.5, 1100), "no change");
  t.same(table.merge([{ ...target, limitPerS: 9, ageMs: 500 }], 1200), [], "older");
  t.equal(table.getLimitPerS(target), 1.5);
  t.same(
    table.merge([{ ...target, limitPerS: null, ageMs: 0 }], 1300),
    [],
    "may have been on its way for long",
  );
  t.equal(table.merge([{ ...target, limitPerS: null, ageMs: 0 }], 1600).length, 1);
  t.equal(table.getLimitPerS(target), null);
  t.same(table.listOwn(1700), [{ ...target, limitPerS: 1.5, ageMs: 600 }]);
  table.note(target, 2, 1800);
  t.equal(table.getLimitPerS({ ...target, bornMs: 2 }), null);
  table.retain([{ ...target, bornMs: 2 }], 1900);
  t.same(table.list(1900), []);
  t.end();
});
