import fc from "fast-check";
import t from "tap";
import { FailureDetector } from "@clementinemux/membership/FailureDetector";
import type { FailureDetectorAction } from "@clementinemux/membership/FailureDetectorAction";
import { FailureDetectorActionKind } from "@clementinemux/membership/FailureDetectorActionKind";
import { FailureDetectorEvent } from "@clementinemux/membership/FailureDetectorEvent";
import { createFailureDetectorSettings } from "@clementinemux/membership/createFailureDetectorSettings";

const tickMs = 250;
const beatMs = 1000;

interface Fleet {
  readonly suspicion: FailureDetector;
  readonly actions: FailureDetectorAction[];
  readonly reasons: FailureDetectorEvent[];
  readonly removals: { readonly target: string; readonly atMs: number }[];
  /** Advances virtual time, with heartbeats of the targets for which `beats` holds. */
  run(
    durationMs: number,
    beats: (target: string) => boolean,
    reach: (target: string, domain: string) => boolean,
  ): void;
  /** Advances time without a tick, as when the observer is stopped. */
  freeze(durationMs: number): void;
}

function createFleet(targetCount: number, domainOf: (index: number) => string): Fleet {
  const targets = Array.from({ length: targetCount }, (_, index) => `r-${index}`);
  const domains = new Map(targets.map((target, index) => [target, domainOf(index)]));
  const countByDomain = new Map<string, number>();
  for (const domain of domains.values()) {
    countByDomain.set(domain, (countByDomain.get(domain) ?? 0) + 1);
  }
  const actions: FailureDetectorAction[] = [];
  const reasons: FailureDetectorEvent[] = [];
  const removals: { target: string; atMs: number }[] = [];
  const suspicion = new FailureDetector(createFailureDetectorSettings("fd-a"), (reason) =>
    reasons.push(reason),
  );
  let nowMs = 0;
  let dueMs = 0;
  const take = (made: FailureDetectorAction[], reach: (target: string, domain: string) => boolean): void => {
    for (const action of made) {
      actions.push(action);
      if (action.kind === FailureDetectorActionKind.Remove) {
        removals.push({ target: action.target, atMs: nowMs });
      }
      const { kind, target, incarnation, excludedDomains } = action;
      const observer =
        kind === FailureDetectorActionKind.Probe
          ? "fd-a"
          : ["fd-b", "fd-c"].find((domain) => !excludedDomains.includes(domain));
      if (
        (kind === FailureDetectorActionKind.Probe || kind === FailureDetectorActionKind.RequestPeerProbe) &&
        observer !== undefined
      ) {
        const result = {
          target,
          incarnation,
          observerDomain: observer,
          reached: reach(target, observer),
          startedAtMs: nowMs,
        };
        take(suspicion.onProbeResult(result, nowMs), reach);
      }
    }
  };
  for (const target of targets) {
    suspicion.recordContact(target, "1", domains.get(target)!, 0);
  }
  return {
    suspicion,
    actions,
    reasons,
    removals,
    run: (durationMs, beats, reach) => {
      for (const endMs = nowMs + durationMs; nowMs < endMs;) {
        nowMs += tickMs;
        if (nowMs % beatMs === 0) {
          for (const target of targets.filter(beats)) {
            take(suspicion.recordContact(target, "1", domains.get(target)!, nowMs), reach);
          }
        }
        take(
          suspicion.tick(nowMs, dueMs === 0 ? nowMs : dueMs, { fleetCount: targetCount, countByDomain }),
          reach,
        );
        dueMs = nowMs + tickMs;
      }
    },
    freeze: (durationMs) => {
      nowMs += durationMs;
    },
  };
}

function getRemoved(actions: readonly FailureDetectorAction[]): string[] {
  return actions.filter(({ kind }) => kind === FailureDetectorActionKind.Remove).map(({ target }) => target);
}

const byThirds = (index: number): string => `fd-${"abc"[index % 3]}`;
const always = (): boolean => true;
const never = (): boolean => false;

// Guards against a dead target that is not removed, and against removing others with it.
t.test("one dead target is removed", (t) => {
  const fleet = createFleet(18, byThirds);
  fleet.run(
    10_000,
    (target) => target !== "r-4",
    (target) => target !== "r-4",
  );
  t.same(getRemoved(fleet.actions), ["r-4"]);
  t.end();
});

// Guards against removal on the report of a single observer, whose own link may have failed.
t.test("one observer is not enough", (t) => {
  const fleet = createFleet(18, byThirds);
  fleet.run(
    10_000,
    (target) => target !== "r-4",
    (target, domain) => target !== "r-4" || domain !== "fd-a",
  );
  t.same(getRemoved(fleet.actions), []);
  t.end();
});

// Guards against taking a silent connection for a dead process.
t.test("silent connection is not a failure", (t) => {
  const fleet = createFleet(18, byThirds);
  fleet.run(60_000, (target) => target !== "r-4", always);
  t.same(getRemoved(fleet.actions), []);
  t.ok(fleet.reasons.includes(FailureDetectorEvent.SilentConnection));
  t.end();
});

// Guards against a failed switch that removes a whole failure domain at once.
t.test("switch failure lowers weights first", (t) => {
  const fleet = createFleet(18, byThirds);
  const isCutOff = (target: string): boolean => Number(target.slice(2)) % 3 === 1;
  fleet.run(
    25_000,
    (target) => !isCutOff(target),
    (target) => !isCutOff(target),
  );
  t.same(getRemoved(fleet.actions), []);
  const lowered = fleet.actions.filter(({ kind }) => kind === FailureDetectorActionKind.LowerWeight);
  t.equal(lowered.length, 6);
  t.ok(lowered.every(({ target }) => isCutOff(target)));
  fleet.run(
    20_000,
    (target) => !isCutOff(target),
    (target) => !isCutOff(target),
  );
  t.equal(getRemoved(fleet.actions).length, 6);
  t.end();
});

// Guards against an observer that is cut off and takes the whole fleet for dead.
t.test("whole fleet is never removed", (t) => {
  const fleet = createFleet(18, byThirds);
  fleet.run(120_000, never, never);
  t.same(getRemoved(fleet.actions), []);
  t.end();
});

// Guards against an observer that was stopped and takes its own stall for a failure of the targets.
t.test("frozen observer suspects no target", (t) => {
  const fleet = createFleet(18, byThirds);
  fleet.run(5000, always, always);
  fleet.freeze(60_000);
  // Its probes fail at first, since it has not read its sockets yet.
  fleet.run(1500, never, never);
  fleet.run(5000, always, always);
  t.same(getRemoved(fleet.actions), []);
  t.same(fleet.actions, []);
  t.ok(fleet.reasons.includes(FailureDetectorEvent.OwnStall));
  t.end();
});

// Guards against a flapping target that gets its full load again each time.
t.test("flapping target returns with low weight", (t) => {
  const fleet = createFleet(18, byThirds);
  for (let turn = 0; turn < 3; turn += 1) {
    fleet.run(
      6000,
      (target) => target !== "r-4",
      (target) => target !== "r-4",
    );
    fleet.run(2000, always, always);
  }
  t.equal(getRemoved(fleet.actions).length, 3);
  t.equal(fleet.actions.at(-1)?.kind, FailureDetectorActionKind.LowerWeight);
  fleet.run(61_000, always, always);
  t.equal(fleet.actions.at(-1)?.kind, FailureDetectorActionKind.RestoreWeight);
  t.end();
});

// Guards against schedules of losses, partitions and stalls in which a target that other relays reach is
// removed.
t.test("no schedule removes a target that peers reach", (t) => {
  const step = fc.record({
    silent: fc.array(fc.integer({ min: 0, max: 17 }), { maxLength: 18 }),
    dead: fc.array(fc.integer({ min: 0, max: 17 }), { maxLength: 5 }),
    freezeMs: fc.constantFrom(0, 0, 300, 5000),
    durationMs: fc.integer({ min: 1, max: 30 }).map((count) => count * tickMs),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const fleet = createFleet(18, byThirds);
      const everDead = new Set<string>();
      for (const { silent, dead, freezeMs, durationMs } of steps) {
        const isDead = (target: string): boolean => dead.includes(Number(target.slice(2)));
        const isSilent = (target: string): boolean => silent.includes(Number(target.slice(2)));
        for (const index of dead) {
          everDead.add(`r-${index}`);
        }
        fleet.freeze(freezeMs);
        fleet.run(
          durationMs,
          (target) => !isDead(target) && !isSilent(target),
          (target, domain) => !isDead(target) && (domain !== "fd-a" || !isSilent(target)),
        );
      }
      const wrong = getRemoved(fleet.actions).filter((target) => !everDead.has(target));
      t.same(wrong, []);
    }),
    { seed: 11, numRuns: 200 },
  );
  t.end();
});

// Guards against removing many targets of a failure domain one by one within the window of a mass suspicion.
t.test("removals within the window are bounded", (t) => {
  const step = fc.record({
    dead: fc.array(fc.integer({ min: 0, max: 17 }), { maxLength: 6 }),
    durationMs: fc.integer({ min: 4, max: 12 }).map((count) => count * tickMs),
  });
  fc.assert(
    // The whole schedule is shorter than `massHoldMs`, after which targets of a lost failure domain may be
    // removed.
    fc.property(fc.array(step, { maxLength: 9 }), (steps) => {
      const fleet = createFleet(18, byThirds);
      for (const { dead, durationMs } of steps) {
        const isAlive = (target: string): boolean => !dead.includes(Number(target.slice(2)));
        fleet.run(durationMs, isAlive, isAlive);
      }
      for (const { target, atMs } of fleet.removals) {
        const domain = byThirds(Number(target.slice(2)));
        const near = fleet.removals.filter(
          (other) =>
            byThirds(Number(other.target.slice(2))) === domain && Math.abs(other.atMs - atMs) < 10_000,
        );
        const distinct = new Set(near.map((other) => other.target));
        t.ok(distinct.size <= 1, `${distinct.size} of 6 removed within 10 s`);
      }
    }),
    { seed: 13, numRuns: 300 },
  );
  t.end();
});
