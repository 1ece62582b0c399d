import t from "tap";
import type { Test } from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { computeColdRatePerS } from "@clementinemux/routes/computeColdRatePerS";
import { findMaxWindow } from "../../control/test/findMaxWindow";
import { ColdModel } from "./ColdModel";

t.setTimeout(120_000);

/** Bound of deployment C: 1.5 times 14 requests per second, and 5 more. */
const bound = 26;
const windowMs = 1000;
const settleMs = 2500;
const domain = Array.from({ length: 24 }, (_, index) => index);
const sizes = [3, 350];
const seeds = [1, 2];

interface Scenario {
  readonly senders: number;
  readonly seed: number;
  readonly targets?: number;
  readonly demandPerS?: number;
  readonly maxHeartbeatMs?: number;
}

function createModel({
  seed,
  targets = 72,
  demandPerS = 1100,
  maxHeartbeatMs = 400,
  ...rest
}: Scenario): ColdModel {
  const model = new ColdModel({ ...rest, targets, demandPerS, maxHeartbeatMs, random: createRandom(seed) });
  model.run(settleMs);
  return model;
}

function getMost(model: ColdModel): number {
  return Math.max(...model.coldArrivals.map((times) => findMaxWindow(times, windowMs)));
}

/** Runs a scenario with few and many senders, and compares what cold targets got in any second with the bound. */
function checkAll(t: Test, run: (model: ColdModel) => void, fields: Partial<Scenario> = {}): void {
  for (const senders of sizes) {
    for (const seed of seeds) {
      const model = createModel({ senders, seed, ...fields });
      run(model);
      const most = getMost(model);
      t.ok(most > 0 && most <= bound, `${most} requests in a second, ${senders} senders, seed ${seed}`);
    }
  }
  t.end();
}

// Guards against permits that follow each other too closely for a new leader that does not know the promises of the last one.
t.test("the rate holds the bound, and small bounds still serve something", (t) => {
  t.equal(computeColdRatePerS(14, { excess: 1.5, slack: 5 }), 9.6);
  t.equal(computeColdRatePerS(1, { excess: 1.5, slack: 50 }), 1);
  t.equal(computeColdRatePerS(1, { excess: 1, slack: 0 }), 0.5);
  t.end();
});

// Guards against the 30 requests in a second that a failure domain got after it had become cold while loaded.
t.test("a whole failure domain that becomes cold while it is loaded", (t) => {
  checkAll(t, (model) => {
    model.cool(domain, 2000, false);
    model.run(4000);
  });
});

// Guards against heartbeats that come as late as their interval allows. Until then nobody knows that a target is cold, so the
// usual rate of a target, 8 requests per second here, has to leave room below the bound.
t.test("a failure domain whose heartbeats come up to 1.2 s late", (t) => {
  checkAll(
    t,
    (model) => {
      model.cool(domain, 3000, false);
      model.run(4000);
    },
    { maxHeartbeatMs: 1200, demandPerS: 600 },
  );
});

// Guards against a crowd of all gateways at targets that are empty since they have restarted.
t.test("a failure domain that restarts, and again before its ramp is over", (t) => {
  checkAll(t, (model) => {
    model.cool(domain, 2000, true);
    model.run(3500);
    model.cool(domain, 2000, true);
    model.run(3000);
  });
});

// Guards against a single restarted target that every gateway takes for the one with the most free slots.
t.test("one target that restarts while the others are busy", (t) => {
  checkAll(
    t,
    (model) => {
      model.cool([0], 3000, true);
      model.run(4000);
    },
    { demandPerS: 1500 },
  );
});

// Guards against a crowd at a target that is empty and has not announced its restart yet.
t.test("targets whose heartbeat after a restart comes up to 1.2 s late", (t) => {
  checkAll(
    t,
    (model) => {
      for (const id of [0, 24, 48, 71]) {
        model.cool([id], 3000, true);
        model.run(1500);
      }
    },
    { maxHeartbeatMs: 1200, demandPerS: 1100 },
  );
});

// Guards against permits of two leaders in one second.
t.test("changes of the leader while targets are cold", (t) => {
  checkAll(t, (model) => {
    model.cool(domain, 6000, false);
    for (const electionMs of [1, 50, 600]) {
      model.run(1500);
      model.changeLeader(electionMs);
    }
    model.run(2000);
  });
});

// Guards against senders that never learn that a target has become cold.
t.test("a third of the senders out of contact", (t) => {
  checkAll(t, (model) => {
    model.cut(Math.ceil(model.senderCount / 3));
    model.run(300);
    model.cool(domain, 3500, false);
    model.run(4000);
  });
});

t.test(
  "a service whose targets are all cold is served at the permitted rate, and stays within the bound",
  (t) => {
    for (const senders of sizes) {
      const model = createModel({ senders, seed: 1, targets: 3, demandPerS: 60, maxHeartbeatMs: 100 });
      model.cool([0, 1, 2], 8000, false);
      model.run(2000);
      const { served } = model;
      model.run(5000);
      const perS = (model.served - served) / 5;
      t.ok(perS >= 0.75 * 3 * 9.6, `${perS} of 28.8 per second, ${senders} senders`);
      t.ok(getMost(model) <= bound);
    }
    t.end();
  },
);

// Guards against a crowd at targets that all gateways take for warm at the same moment.
t.test("the share of targets that have warmed up grows without a step", (t) => {
  for (const senders of sizes) {
    const model = createModel({ senders, seed: 1, demandPerS: 1300 });
    const endMs = model.nowMs + 2000;
    model.cool(domain, 2000, false);
    model.run(6000);
    const count = (fromMs: number, toMs: number): number =>
      domain.reduce(
        (sum, id) => sum + (model.arrivals[id] ?? []).filter((at) => at >= fromMs && at < toMs).length,
        0,
      ) /
      domain.length /
      ((toMs - fromMs) / 1000);
    const cold = count(endMs - 1000, endMs);
    const steps = [0, 500, 1000, 1500, 2000, 2500, 3000].map((at) => count(endMs + at, endMs + at + 500));
    t.ok(cold < 11, `${cold} per second while cold`);
    let last = Math.max(cold, 9.6);
    for (const step of steps) {
      t.ok(step <= 2.5 * last, `${step} per second after ${last}, ${senders} senders`);
      last = Math.max(step, last);
    }
    const settled = count(endMs + 3000, endMs + 4000);
    t.ok(settled > 12, `${settled} per second after the ramp`);
  }
  t.end();
});
