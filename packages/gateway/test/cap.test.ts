import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { computeConcurrencyLimit } from "@clementinemux/gateway/computeConcurrencyLimit";
import { CallerDeadlines } from "@clementinemux/gateway/CallerDeadlines";
import { computeWaitLimitMs } from "@clementinemux/gateway/computeWaitLimitMs";
import { estimateRetryAfterMs } from "@clementinemux/gateway/estimateRetryAfterMs";
import { createDocument } from "../../routes/test/createDocument";

const parameters = { slots: 8, stride: 4, stepMs: 4.55, gapObjectiveMs: 120 };

/**
 * Time of a forward pass of the stand-in group at a load; the most loaded rank has `skew` times the mean
 * load.
 */
function getPassMs(load: number, skew: number): number {
  return 4 * (4.55 + load * 1.3575 * (0.15 + 0.85 * skew)) + 8;
}

/**
 * Simulates arrivals at a steady rate at a group, with or without a concurrency limit. Returns the load and
 * the time of a pass at the end.
 */
function simulateLoad(arrivalsPerS: number, skew: number, isLimited: boolean) {
  const ranks = 16;
  const events = 24;
  let load = 7.9;
  for (let step = 0; step < 400; step += 1) {
    const passMs = getPassMs(load, skew);
    const limit = isLimited
      ? computeConcurrencyLimit({ ...parameters, meanGapMs: passMs, meanLoad: load })
      : parameters.slots;
    const ended = load / events;
    const arrived = (arrivalsPerS * passMs) / 1000 / ranks;
    load = Math.max(0, Math.min(load - ended + arrived, Math.max(limit, load - ended)));
  }
  return { load, passMs: getPassMs(load, skew) };
}

t.test("an overload does not stretch the pauses of all streams", (t) => {
  const open = simulateLoad(70, 1.6, false);
  const limited = simulateLoad(70, 1.6, true);
  t.ok(open.passMs > 85, "without a limit the group fills up");
  t.ok(limited.passMs < 0.65 * 120 + 8, "guards against a few more requests that delay every stream");
  t.ok(limited.load / limited.passMs > 0.8 * (open.load / open.passMs), "most of the throughput is kept");
  t.end();
});

t.test("the concurrency limit rises when the load falls", (t) => {
  t.ok(computeConcurrencyLimit({ ...parameters, meanGapMs: getPassMs(2, 1), meanLoad: 2 }) > 6);
  t.equal(computeConcurrencyLimit({ ...parameters, meanGapMs: null, meanLoad: 6 }), 8);
  t.end();
});

t.test("an objective that rejections cannot meet causes no rejections", (t) => {
  const limit = computeConcurrencyLimit({ ...parameters, meanGapMs: 400, meanLoad: 6 });
  t.equal(limit, 8, "guards against rejections while a rank is slow, since all streams are late anyway");
  t.end();
});

t.test("most of the slots are always used", (t) => {
  t.ok(computeConcurrencyLimit({ ...parameters, meanGapMs: 110, meanLoad: 5 }) >= 4.8);
  t.end();
});

// Guards against callers that retry while the passes of the group are still slow, and are rejected again.
t.test("callers rejected by a slow group retry after other experts have been placed", (t) => {
  const random = createRandom(3);
  const [service] = createDocument(1).services;
  const engine = { slots: 8 } as never;
  const model = { ...service!, engine };
  const slow = {
    targets: 16,
    meanLoad: 5,
    slots: 8,
    cap: 4.8,
    meanGapMs: 130,
    slowPlaces: 0,
    limited: 0,
    held: 0,
    pauseMs: null,
  };
  const waits = Array.from({ length: 200 }, () => estimateRetryAfterMs(model, slow, false, random));
  t.ok(Math.min(...waits) >= 600 && Math.max(...waits) <= 1500);
  t.ok(Math.max(...waits) - Math.min(...waits) > 300, "guards against callers that all retry at once");
  const quick = Array.from({ length: 200 }, () =>
    estimateRetryAfterMs(model, { ...slow, cap: 8 }, false, random),
  );
  t.ok(Math.max(...quick) < 500);
  t.end();
});

// Guards against callers that retry while a broken group is still recovering, and are finally rejected.
t.test("callers rejected by a recovering group retry after its recovery", (t) => {
  const random = createRandom(4);
  const experts = {
    layerSets: 4,
    expertsPerSet: 64,
    placements: 5,
    spare: 2,
    expertMb: 2500,
    expertShare: 0.85,
    linkMbps: 180_000,
    formMs: 600,
  };
  const [service] = createDocument(1).services;
  const engine = { slots: 8, experts } as never;
  const idle = {
    targets: 16,
    meanLoad: 0,
    slots: 8,
    cap: 8,
    meanGapMs: null,
    slowPlaces: 0,
    limited: 0,
    held: 0,
    pauseMs: null,
  };
  const wait = (isRejected: boolean): number =>
    estimateRetryAfterMs({ ...service!, engine }, idle, isRejected, random);
  const waits = Array.from({ length: 200 }, () => wait(true));
  t.ok(Math.min(...waits) >= 600 && Math.max(...waits) <= 1500);
  t.ok(wait(false) < 500);
  t.end();
});

// Guards against two failures: callers that retry once after a restart of all processes are rejected although
// a slot would be free within a second, and requests are kept waiting although their callers could still be
// served on time.
t.test("requests that are already late wait longer for a slot than those that can be on time", (t) => {
  const request = { elapsedMs: 0, usedMs: 0, endMs: 8000, objectiveMs: 400 };
  t.equal(computeWaitLimitMs(request), 160, "a first try");
  t.equal(computeWaitLimitMs({ ...request, usedMs: 2400, endMs: 5600 }), 1200, "a retrying caller");
  t.equal(
    computeWaitLimitMs({ ...request, elapsedMs: 500 }),
    1200,
    "kept waiting at the start of the gateway",
  );
  t.equal(computeWaitLimitMs({ ...request, usedMs: 7200, endMs: 800 }), 200, "a share of the time left");
  t.end();
});

// Guards against first tries that count as late, and wait in vain, after the operator has raised the route's
// timeout.
t.test("retrying callers are recognized by their shorter deadlines", (t) => {
  const deadlines = new CallerDeadlines();
  t.equal(deadlines.note("r", 8020, 0), 0);
  t.equal(deadlines.note("r", 8020, 10), 0);
  t.equal(deadlines.note("r", 5600, 20), 2420);
  t.equal(deadlines.note("other", 5600, 20), 0, "each route has its own deadline");
  t.equal(deadlines.note("r", null, 20), 0);
  t.equal(deadlines.note("r", 3000, 31_000), 0, "a deadline that is no longer stated expires");
  t.end();
});
