import fc from "fast-check";
import t from "tap";
import { unleasedShare } from "@clementinemux/policy/admission/unleasedShare";
import { LimitFleet } from "./LimitFleet";

const stepMs = 20;
const burstMs = 2000;

// Guards against entries that together exceed a team's limit when messages are lost and entries or relays
// restart.
t.test("admitted requests stay within the bound under faults", (t) => {
  const fault = fc.record({
    afterMs: fc.integer({ min: 0, max: 6000 }),
    kind: fc.constantFrom("entry", "relay", "load"),
    index: fc.integer({ min: 0, max: 4 }),
    downMs: fc.integer({ min: 20, max: 12_000 }),
  });
  const run = fc.record({
    seed: fc.integer({ min: 1, max: 1e6 }),
    lossShare: fc.constantFrom(0, 0.1, 0.5),
    maxDelayMs: fc.constantFrom(10, 400, 3000),
    faults: fc.array(fault, { maxLength: 8 }),
  });
  const property = fc.property(run, ({ faults, ...options }) => {
    const fleet = new LimitFleet({ ...options, entryCount: 5 });
    let busyFrom = 0;
    let startCount = 5;
    const isBusy = (index: number): boolean => (index + busyFrom) % 5 < 3;
    for (const { afterMs, kind, index, downMs } of faults) {
      fleet.runUntil(fleet.nowMs + afterMs, isBusy);
      if (kind === "entry") {
        fleet.restartEntry(index);
        startCount += 1;
      } else if (kind === "relay") {
        fleet.restartRelay(index % 3, downMs);
      } else {
        busyFrom = index;
      }
    }
    fleet.runUntil(fleet.nowMs + 12_000, isBusy);
    const isShareSumInBound = fleet.maxShareSum <= 1 - unleasedShare + 1e-9;
    return isShareSumInBound && [1000, 5000].every((windowMs) => isWithinBound(fleet, windowMs, startCount));
  });
  fc.assert(property, { seed: 17, numRuns: 300 });
  t.end();
});

/**
 * Bound: limit * (divided part + leased part for each relay with active shares) * (window + 2 s), plus one
 * request per entry start.
 */
function isWithinBound(
  { admittedAtMs, parts, rates, nowMs }: LimitFleet,
  windowMs: number,
  startCount: number,
): boolean {
  const counts = new Array<number>(parts.length).fill(0);
  for (const atMs of admittedAtMs) {
    counts[atMs / stepMs] = (counts[atMs / stepMs] ?? 0) + 1;
  }
  for (let fromMs = 0; fromMs < nowMs; fromMs += 500) {
    const from = fromMs / stepMs;
    const until = from + windowMs / stepMs;
    const part = Math.max(...parts.slice(from, until));
    const bound = (rates.requestsPerS * part * (windowMs + burstMs)) / 1000 + startCount;
    const count = counts.slice(from, until).reduce((sum, each) => sum + each, 0);
    if (count > bound) {
      return false;
    }
  }
  return true;
}

// Guards against a team whose callers all use one entry but get only an equal part of the limit.
t.test("one entry gets nearly the full limit", (t) => {
  const fleet = new LimitFleet({ seed: 3, entryCount: 16, lossShare: 0, maxDelayMs: 10 });
  fleet.runUntil(8000, (index) => index === 3);
  const fromCount = fleet.admittedAtMs.length;
  fleet.runUntil(18_000, (index) => index === 3);
  const perS = (fleet.admittedAtMs.length - fromCount) / 10;
  t.ok(perS >= 0.9 * fleet.rates.requestsPerS, `${perS} per s`);
  t.ok(perS <= fleet.rates.requestsPerS, `${perS} per s`);
  t.end();
});

// Guards against a team's requests being rejected while its relay restarts, or for long when it stays down.
t.test("share survives a relay failure", (t) => {
  const isBusy = (index: number): boolean => index === 3;
  for (const downMs of [100, 60_000]) {
    const fleet = new LimitFleet({ seed: 3, entryCount: 16, lossShare: 0, maxDelayMs: 10 });
    fleet.runUntil(8000, isBusy);
    for (const index of fleet.relays.keys()) {
      if ((fleet.relays[index]?.grantedAtMs ?? 0) > 0) {
        fleet.restartRelay(index, downMs);
      }
    }
    const waitMs = downMs === 100 ? 0 : 12_000;
    fleet.runUntil(8000 + waitMs, isBusy);
    const fromCount = fleet.admittedAtMs.length;
    fleet.runUntil(18_000 + waitMs, isBusy);
    const perS = (fleet.admittedAtMs.length - fromCount) / 10;
    t.ok(perS >= 0.85 * fleet.rates.requestsPerS, `down ${downMs} ms: ${perS} per s`);
  }
  t.end();
});
