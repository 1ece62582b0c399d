import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { findMaxWindow } from "../../control/test/findMaxWindow";
import { TestTarget } from "./TestTarget";
import { createColdDocument } from "./createColdDocument";
import { responses } from "./responses";
import { startGateways } from "./startGateways";

t.setTimeout(90_000);

const requestsPerS = 14;
/** 1.5 times the rate that a cold target takes, and 5 more. */
const bound = 26;
const permitsPerS = 9.6;
const windowMs = 1000;

type Fleet = Awaited<ReturnType<typeof startGateways>>;

/** Target that records its arrivals, and those that found it cold. */
class CoolingTarget {
  readonly arrivals: number[] = [];
  readonly coldArrivals: number[] = [];
  readonly target = new TestTarget(({ id }, socket) => {
    const nowMs = performance.now();
    this.arrivals.push(nowMs);
    if (this.getColdLeftMs() > 0) {
      this.coldArrivals.push(nowMs);
    }
    socket.write(responses.whole(id, "ok"));
  });
  #coldUntilMs = -Infinity;

  readonly getColdLeftMs = (): number => Math.max(0, this.#coldUntilMs - performance.now());

  cool(durationMs: number): void {
    this.#coldUntilMs = performance.now() + durationMs;
  }

  countBetween(fromMs: number, toMs: number): number {
    return this.arrivals.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
  }
}

async function waitUntilKnown({ gateways }: Fleet, coldTargets: number): Promise<void> {
  const line = `clementinemux_gateway_cold_targets ${coldTargets}\n`;
  await waitUntil("the gateways know", () =>
    gateways.every((gateway) => gateway.renderMetrics().includes(line)) ? true : null,
  );
}

// Guards against a service that gets nothing while all its targets are cold, or more than the bound through an election, and
// against permits without a leader.
t.test("with all targets cold, the service is served at the permitted rate", async (t) => {
  const targets = [new CoolingTarget(), new CoolingTarget()];
  const started = await startGateways(targets, createColdDocument(requestsPerS));
  const { fleet, register, sendFor, stop } = started;
  await sendFor(1000, 20);
  targets.forEach((target) => {
    target.cool(60_000);
  });
  register();
  await sendFor(1000, 20);
  const served = await sendFor(5000, 20);
  const expected = targets.length * permitsPerS * 5;
  const answered = served.filter(({ status }) => status === 200).length;
  t.ok(answered >= 0.75 * expected, `${answered} of ${expected} answered`);
  const rejected = served.filter(({ status }) => status === 503);
  t.ok(rejected.length > 0 && rejected.every(({ retryAfter }) => Number(retryAfter) > 0));
  const first = fleet.leader;
  await fleet.stop(first);
  await sendFor(5000, 20);
  for (const { coldArrivals } of targets) {
    const most = findMaxWindow(coldArrivals, windowMs);
    t.ok(most <= bound, `${most} requests in a second, allowed ${bound}`);
  }
  // One coordinator is left of three.
  await fleet.stop((first + 1) % 3);
  await delay(1500);
  const startedAtMs = performance.now();
  await sendFor(1500, 20);
  for (const target of targets) {
    t.equal(target.countBetween(startedAtMs, performance.now()), 0, "no leader");
  }
  await stop();
});

// Guards against requests to a cold target that a warm one could take, and against a crowd when it has warmed up.
t.test("warm targets come first, and the share of one that has warmed up grows without a step", async (t) => {
  const [cold, warm] = [new CoolingTarget(), new CoolingTarget()] as const;
  const started = await startGateways([cold, warm], createColdDocument(requestsPerS));
  const { register, sendFor, stop } = started;
  cold.cool(3000);
  const endMs = performance.now() + 3000;
  register();
  await waitUntilKnown(started, 1);
  const knownAtMs = performance.now();
  await sendFor(endMs - performance.now() + 5000, 5);
  t.equal(cold.countBetween(knownAtMs + 50, endMs), 0);
  t.ok(warm.countBetween(knownAtMs, endMs) > 100);
  const perS = [0, 500, 1000, 1500, 2000, 2500, 3000].map((at) => {
    return 2 * cold.countBetween(endMs + at, endMs + at + 500);
  });
  const [first = 0] = perS;
  t.ok(first <= 3 * permitsPerS, `${perS.join(", ")} per second after the cold time`);
  const settled = cold.countBetween(endMs + 3500, endMs + 4500);
  t.ok(settled > 40, `${settled} in the second after the ramp`);
  await stop();
});
