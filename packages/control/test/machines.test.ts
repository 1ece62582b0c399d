import fc from "fast-check";
import t from "tap";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import { MapDecision } from "@clementinemux/messages/MapDecision";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import { ClaimCommandKind } from "@clementinemux/control/ClaimCommandKind";
import { ClaimStateMachine } from "@clementinemux/control/ClaimStateMachine";
import { ConfigCommandKind } from "@clementinemux/control/ConfigCommandKind";
import { ConfigStateMachine } from "@clementinemux/control/ConfigStateMachine";
import { ProposeSchema } from "@clementinemux/control/ProposeSchema";

const drain = { reason: "disk swap", author: "ann", sinceMs: 1 };
const createChange = (target: string) => ({ kind: ConfigChangeKind.DrainTarget as const, target, drain });

function propose(
  machine: ConfigStateMachine,
  parts: { author?: string; requestId?: string; baseRevision?: number; change?: object; nowMs?: number },
): ProposeResponse {
  const { nowMs = 1, ...given } = parts;
  const request = { author: "ann", requestId: "r1", baseRevision: 0, change: createChange("t1"), ...given };
  return machine.apply({ kind: ConfigCommandKind.Propose, nowMs, request }) as ProposeResponse;
}

function copy(machine: ConfigStateMachine): ConfigStateMachine {
  const other = new ConfigStateMachine();
  other.restore(machine.createSnapshot());
  return other;
}

// Guards against a retry that is applied twice, also after a snapshot or a new leader.
t.test("retry gets the first response", (t) => {
  const machine = new ConfigStateMachine();
  const first = propose(machine, {});
  t.equal(first.outcome, ProposeOutcome.Accepted);
  t.same(propose(machine, { nowMs: 50 }), first);
  t.same(propose(copy(machine), {}), first);
  t.equal(machine.config.revision, 1);
  t.end();
});

// Guards against two operators who race on the same base revision and overwrite each other by retries.
t.test("loser of a race sees the winner, also on a retry", (t) => {
  const machine = new ConfigStateMachine();
  propose(machine, {});
  const lost = propose(machine, { author: "bob", requestId: "r2", change: createChange("t2") });
  t.match(lost, { outcome: ProposeOutcome.Conflict, winnerAuthor: "ann", winner: { revision: 1 } });
  propose(machine, { requestId: "r3", baseRevision: 1, change: createChange("t3") });
  t.same(propose(machine, { author: "bob", requestId: "r2", change: createChange("t2") }), lost);
  t.same(Object.keys(machine.config.drains), ["t1", "t3"]);
  t.end();
});

// Guards against a reused request id that returns the first response to another author or for other content.
t.test("reused request id is rejected", (t) => {
  const machine = new ConfigStateMachine();
  propose(machine, {});
  for (const parts of [{ author: "bob" }, { change: createChange("t2") }, { baseRevision: 1 }]) {
    t.equal(propose(machine, parts).outcome, ProposeOutcome.RequestIdReused);
  }
  t.equal(machine.config.revision, 1);
  t.end();
});

// Guards against changes without a reason, with unknown fields, or with values out of range.
t.test("invalid changes are rejected", (t) => {
  const { defaults } = createDefaultConfig();
  const changes = [
    { ...createChange("t1"), drain: { ...drain, reason: " " } },
    { ...createChange("t1"), extra: 1 },
    createChange("__proto__"),
    { kind: ConfigChangeKind.SetDefaults, defaults: { ...defaults, servingLeaseMs: 6000 } },
    { kind: "other" },
  ];
  for (const change of changes) {
    const request = { author: "ann", requestId: "r", baseRevision: 0, change };
    t.equal(ProposeSchema.safeParse(request).success, false);
  }
  const services = { orders: { repeatable: false, timeoutMs: 100 } };
  const listed = { kind: ConfigChangeKind.SetDefaults, defaults: { ...defaults, services } };
  const request = { author: "ann", requestId: "r", baseRevision: 0, change: listed };
  t.match(ProposeSchema.parse(request), {
    change: { defaults: { services: { orders: { keyRequired: false } } } },
  });
  const machine = new ConfigStateMachine();
  const unknown = { kind: ConfigChangeKind.RemoveException, exceptionId: "x", reason: "done" };
  t.equal(propose(machine, { change: unknown }).outcome, ProposeOutcome.Invalid);
  t.equal(propose(machine, { baseRevision: 9 }).outcome, ProposeOutcome.Invalid);
  t.equal(machine.config.revision, 0);
  t.end();
});

// Guards against an expiry that removes a later exception with the same id, or one that has not expired.
t.test("expiry removes exactly the expired exception", (t) => {
  const machine = new ConfigStateMachine();
  const exception = { id: "e", reason: "r", author: "ann", createdAtMs: 0, expiresAtMs: 100, selector: {} };
  const change = {
    kind: ConfigChangeKind.AddException,
    exception: { ...exception, override: { weight: 2 } },
  };
  propose(machine, { change });
  const expire = (nowMs: number, expiresAtMs: number): unknown =>
    machine.apply({ kind: ConfigCommandKind.ExpireException, nowMs, exceptionId: "e", expiresAtMs });
  t.equal(expire(99, 100), false);
  t.equal(expire(100, 90), false);
  t.equal(expire(100, 100), true);
  t.equal(machine.config.exceptions.length, 0);
  t.equal(machine.config.revision, 2);
  t.end();
});

// Guards against a replaced group leader that decides a map, and against a decision that changes.
t.test("first map decision is final and old epochs are rejected", (t) => {
  const machine = new ConfigStateMachine();
  const lease = (holder: string, endedEpoch: number | null): unknown =>
    machine.apply({ kind: "group_lease", request: { group: "g", holder, incarnation: "1" }, endedEpoch });
  const decide = (epoch: number, version: number, decision: MapDecision): unknown =>
    machine.apply({ kind: "decide_map", request: { group: "g", version, epoch, decision } });
  t.match(lease("a", null), { holder: "a", epoch: 1 });
  t.match(lease("b", null), { holder: "a", epoch: 1 });
  t.match(decide(1, 1, MapDecision.Activate), { decision: MapDecision.Activate });
  t.match(lease("b", 1), { holder: "b", epoch: 2, mapVersion: 1 });
  t.match(lease("c", 1), { holder: "b", epoch: 2 });
  t.type(decide(1, 2, MapDecision.Activate), "string");
  t.match(decide(2, 1, MapDecision.Abort), { decision: MapDecision.Activate });
  t.match(decide(2, 2, MapDecision.Abort), { decision: MapDecision.Abort });
  t.end();
});

// Guards against a new leader that cannot learn, or changes, the decision about an older map version.
t.test("older map versions keep their decision through a snapshot and a new leader", (t) => {
  let machine = new ConfigStateMachine();
  const lease = (holder: string, endedEpoch: number | null): unknown =>
    machine.apply({ kind: "group_lease", request: { group: "g", holder, incarnation: "1" }, endedEpoch });
  const decide = (epoch: number, version: number, decision: MapDecision): unknown =>
    machine.apply({ kind: "decide_map", request: { group: "g", version, epoch, decision } });
  const { Activate, Abort } = MapDecision;
  lease("a", null);
  for (const [version, decision] of [
    [1, Activate],
    [2, Activate],
    [3, Abort],
    [5, Activate],
  ] as const) {
    t.same(decide(1, version, decision), { version, decision });
  }
  machine = copy(machine);
  lease("b", 1);
  t.same(decide(2, 5, Abort), { version: 5, decision: Activate });
  t.same(decide(2, 6, Abort), { version: 6, decision: Abort });
  for (const [index, stands] of [Activate, Activate, Abort, Abort, Activate, Abort].entries()) {
    const other = stands === Activate ? Abort : Activate;
    t.same(decide(2, index + 1, other), { version: index + 1, decision: stands });
  }
  t.type(decide(1, 1, Abort), "string");
  t.type(decide(2, 0, Abort), "string");
  // Each activation followed by an abort is a separate run; only a bounded number of runs is stored.
  for (let version = 7; version < 207; version += 1) {
    decide(2, version, version % 2 === 0 ? Abort : Activate);
  }
  t.type(decide(2, 1, Abort), "string");
  t.same(decide(2, 205, Abort), { version: 205, decision: Activate });
  t.same(decide(2, 204, Activate), { version: 204, decision: Abort });
  t.end();
});

const timing = { claimRetentionMs: 1000, tombstoneRetentionMs: 5000 };
const one = { entry: "e1", incarnation: "1" };
const two = { entry: "e2", incarnation: "1" };
const answer = { status: 200, contentType: "text/plain", body: Buffer.from("ok") };

function claim(machine: ClaimStateMachine, nowMs: number, parts: object = {}): ClaimResponse {
  const defaults = { team: "t", key: "k", bodyDigest: "d", claimant: one, requestId: "r", createdAtMs: null };
  const request = { ...defaults, ...parts };
  return machine.apply({ kind: ClaimCommandKind.Claim, request, nowMs, ...timing }) as ClaimResponse;
}

function finish(
  machine: ClaimStateMachine,
  kind: ClaimCommandKind,
  nowMs: number,
  parts: object = {},
): unknown {
  const request = { team: "t", key: "k", claimant: one, requestId: "r", attempt: 1, answer, ...parts };
  return machine.apply({ kind, request, nowMs, ...timing });
}

// Guards against a second dispatch of a claimed key, by the same or another entry.
t.test("one claimant per attempt", (t) => {
  const machine = new ClaimStateMachine();
  t.match(claim(machine, 1), { state: ClaimState.Granted, attempt: 1 });
  t.match(claim(machine, 2), { state: ClaimState.Granted, attempt: 1 });
  t.equal(claim(machine, 3, { requestId: "r2" }).state, ClaimState.InProgress);
  t.equal(claim(machine, 4, { claimant: two }).state, ClaimState.InProgress);
  t.equal(claim(machine, 5, { bodyDigest: "x" }).state, ClaimState.KeyReused);
  t.equal(claim(machine, 6, { team: "t2" }).state, ClaimState.Granted);
  t.equal(claim(machine, 7, { team: "", key: "tk", claimant: two }).state, ClaimState.Granted);
  t.end();
});

// Guards against a request that is executed again after its claimant restarted with the outcome unknown.
t.test("outcome of a restarted entry's claim stays unknown", (t) => {
  const machine = new ClaimStateMachine();
  claim(machine, 1);
  claim(machine, 2, { key: "other", claimant: { ...one, incarnation: "2" } });
  t.equal(claim(machine, 3, { claimant: two }).state, ClaimState.OutcomeUnknown);
  t.same(finish(machine, ClaimCommandKind.Cancel, 4), { cancelled: false });
  t.equal(claim(machine, 5).state, ClaimState.OutcomeUnknown);
  t.end();
});

// Guards against a cancellation by another process than the claimant, and against one after the completion.
t.test("only the claimant can cancel, and the next claim gets a higher attempt", (t) => {
  const machine = new ClaimStateMachine();
  claim(machine, 1);
  t.type(finish(machine, ClaimCommandKind.Cancel, 2, { claimant: two }), "string");
  t.same(finish(machine, ClaimCommandKind.Cancel, 3), { cancelled: true });
  t.same(finish(machine, ClaimCommandKind.Cancel, 4), { cancelled: true });
  t.match(claim(machine, 5, { claimant: two }), { state: ClaimState.Granted, attempt: 2 });
  t.type(finish(machine, ClaimCommandKind.Complete, 6), "string");
  finish(machine, ClaimCommandKind.Complete, 7, { claimant: two, attempt: 2 });
  t.same(finish(machine, ClaimCommandKind.Cancel, 8, { claimant: two, attempt: 2 }), { cancelled: false });
  t.match(claim(machine, 9), { state: ClaimState.Recorded, answer: { status: 200 } });
  t.end();
});

// Guards against a key that stays claimed by a request that cancelled without knowing its attempt.
t.test("cancellation by request id, before and after the claim arrives", (t) => {
  const machine = new ClaimStateMachine();
  const given = { attempt: null, requestId: "lost" };
  claim(machine, 1, { requestId: "lost" });
  t.same(finish(machine, ClaimCommandKind.Cancel, 2, { ...given, claimant: two }), { cancelled: true });
  t.equal(claim(machine, 3).state, ClaimState.InProgress);
  t.same(finish(machine, ClaimCommandKind.Cancel, 4, given), { cancelled: true });
  t.equal(claim(machine, 5, { requestId: "lost" }).state, ClaimState.InProgress);
  t.match(claim(machine, 6), { state: ClaimState.Granted, attempt: 2 });
  t.same(finish(machine, ClaimCommandKind.Cancel, 7, given), { cancelled: true });
  t.match(claim(machine, 8), { state: ClaimState.Granted, attempt: 2 });
  t.type(finish(machine, ClaimCommandKind.Complete, 9, { attempt: 2, requestId: "lost" }), "string");
  const late = { key: "late", requestId: "lost" };
  t.same(finish(machine, ClaimCommandKind.Cancel, 10, { ...given, key: "late" }), { cancelled: true });
  t.equal(claim(machine, 11, late).state, ClaimState.InProgress);
  t.match(claim(machine, 12, { key: "late" }), { state: ClaimState.Granted, attempt: 1 });
  finish(machine, ClaimCommandKind.Complete, 13, { attempt: 2 });
  t.same(finish(machine, ClaimCommandKind.Cancel, 14, { attempt: null }), { cancelled: false });
  t.end();
});

// Guards against executing a request again after its recorded response has been dropped.
t.test("tombstones reject late retries, also after a snapshot", (t) => {
  const machine = new ClaimStateMachine();
  claim(machine, 1);
  finish(machine, ClaimCommandKind.Complete, 2);
  t.equal(claim(machine, 1001).state, ClaimState.Recorded);
  t.equal(claim(machine, 1002).state, ClaimState.KeyExpired);
  const other = new ClaimStateMachine();
  other.restore(machine.createSnapshot());
  t.equal(claim(other, 1003).state, ClaimState.KeyExpired);
  t.equal(claim(other, 1004, { key: "old", createdAtMs: 4 }).state, ClaimState.KeyExpired);
  t.equal(other.lookup("t", "k")?.state, ClaimState.KeyExpired);
  t.equal(claim(other, 7000).state, ClaimState.Granted);
  t.end();
});

// Guards against granting one attempt twice, in any order of commands and with a snapshot in between.
t.test("an attempt is granted to one request only", (t) => {
  const claimant = fc.constantFrom(one, two, { ...one, incarnation: "2" });
  const step = fc.record({ kind: fc.constantFrom("claim", "complete", "cancel"), claimant, at: fc.nat(3) });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let machine = new ClaimStateMachine();
      const granted = new Map<number, string>();
      steps.forEach(({ kind, claimant: by, at }, index) => {
        const requestId = `${by.entry}/${by.incarnation}/${at}`;
        if (kind === "claim") {
          const { state, attempt } = claim(machine, index, { claimant: by, requestId });
          const holder = granted.get(attempt) ?? requestId;
          if (state === ClaimState.Granted) {
            t.equal(holder, requestId);
            granted.set(attempt, requestId);
          }
        } else {
          finish(machine, kind === "cancel" ? ClaimCommandKind.Cancel : ClaimCommandKind.Complete, index, {
            claimant: by,
            requestId,
            attempt: granted.size || 1,
          });
        }
        const next = new ClaimStateMachine();
        next.restore(machine.createSnapshot());
        machine = next;
      });
    }),
    { seed: 9, numRuns: 200 },
  );
  t.end();
});
