import fc from "fast-check";
import t from "tap";
import { AgentRefusal } from "@clementinemux/agent/AgentRefusal";
import { createGate } from "./helpers/createGate";
import { createRenewal } from "./helpers/createRenewal";

const incarnation = "00000000000001-aa";
let attemptCount = 0;

function createPermit(stamp: string): { stamp: string; attemptId: string } {
  attemptCount += 1;
  return { stamp, attemptId: `attempt-${attemptCount}` };
}

// Guards against an agent that can't reach control and accepts requests although its target was drained (I5).
t.test("agent without control rejects requests once its lease has expired", (t) => {
  const { gate } = createGate(incarnation);
  gate.onRenewed(createRenewal(0, 0), 0);
  t.equal(gate.admit(createPermit(gate.createStamp(3999)), 3999), null);
  t.equal(gate.admit(createPermit(gate.createStamp(4000)), 4000), AgentRefusal.LeaseExpired);
  t.end();
});

// Guards against a lease that starts with the response, which may have been delayed in a socket buffer.
t.test("late response to a renewal does not prolong the lease", (t) => {
  const { gate } = createGate(incarnation);
  t.equal(gate.onRenewed(createRenewal(0, 0), 0), true);
  t.equal(gate.getClosedReason(9000), AgentRefusal.LeaseExpired);
  t.end();
});

// Guards against an entry that has not received the drain yet and still has a valid stamp (I5).
t.test("request from an entry with a stale configuration is rejected", (t) => {
  const { gate } = createGate(incarnation);
  gate.onRenewed(createRenewal(0, 0), 0);
  const stamp = gate.createStamp(900);
  gate.onRenewed(createRenewal(0, 1), 1000);
  t.equal(gate.admit(createPermit(stamp), 1001), AgentRefusal.TargetDrained);
  t.end();
});

// Guards against schedules of lost, late and retried renewals in which a target gets requests more than 5 s
// after its drain was accepted (I5).
t.test("no request is admitted 5 s after a drain on any schedule", (t) => {
  const renewal = fc.record({
    sentAtMs: fc.integer({ min: 0, max: 20_000 }),
    toControlMs: fc.integer({ min: 0, max: 3000 }),
    backMs: fc.integer({ min: 0, max: 6000 }),
  });
  fc.assert(
    fc.property(
      fc.array(renewal, { maxLength: 20 }),
      fc.integer({ min: 0, max: 15_000 }),
      (renewals, drainAtMs) => {
        const { gate, view } = createGate(incarnation);
        const arrivals = renewals
          .map((each) => ({ ...each, answeredAtMs: each.sentAtMs + each.toControlMs }))
          .map((each) => ({ ...each, arrivesAtMs: each.answeredAtMs + each.backMs }))
          .sort((left, right) => left.arrivesAtMs - right.arrivesAtMs);
        for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
          for (const { sentAtMs, answeredAtMs, arrivesAtMs } of arrivals) {
            if (arrivesAtMs >= nowMs - 100 && arrivesAtMs < nowMs) {
              gate.onRenewed(
                createRenewal(view.config.revision, answeredAtMs >= drainAtMs ? 1 : 0),
                sentAtMs,
              );
            }
          }
          const refusal = gate.admit(createPermit(gate.createStamp(nowMs)), nowMs);
          t.ok(
            refusal !== null || nowMs <= drainAtMs + 5000,
            `admitted ${nowMs - drainAtMs} ms after the drain`,
          );
        }
      },
    ),
    { seed: 5, numRuns: 60 },
  );
  t.end();
});

// Guards against a restarted process that accepts requests although its target is drained.
t.test("restarted target is still drained", (t) => {
  const { gate } = createGate("00000000000002-bb");
  t.equal(gate.admit(createPermit(gate.createStamp(0)), 0), AgentRefusal.LeaseExpired);
  gate.onRenewed(createRenewal(0, 1, true), 10);
  t.equal(gate.admit(createPermit(gate.createStamp(20)), 20), AgentRefusal.TargetDrained);
  t.end();
});

// Guards against a revision that decreases when an old leader or a late response contains a lower one (I7).
t.test("configuration revision never decreases", (t) => {
  for (const asFullConfig of [false, true]) {
    const { gate, view } = createGate(incarnation);
    gate.onRenewed(createRenewal(0, 1), 0);
    t.equal(gate.onRenewed(createRenewal(0, 0, asFullConfig), 3000), false);
    t.equal(view.config.revision, 1);
    t.equal(gate.getClosedReason(3500), AgentRefusal.TargetDrained);
    t.equal(gate.getClosedReason(4500), AgentRefusal.LeaseExpired);
  }
  t.end();
});

// Guards against a lease for a revision that the agent has not applied because a change is missing.
t.test("gap in the changes does not extend the lease", (t) => {
  const { gate, view } = createGate(incarnation);
  const renewal = createRenewal(1, 2);
  t.equal(gate.onRenewed(renewal, 0), false);
  t.equal(view.config.revision, 0);
  t.equal(gate.onRenewed({ ...createRenewal(0, 0), confirmed: false }, 0), false);
  t.equal(gate.getClosedReason(1), AgentRefusal.LeaseExpired);
  t.end();
});

// Guards against requests that were sent to an earlier process, or were delayed while this one was suspended.
t.test("old stamps and stamps of other incarnations are rejected", (t) => {
  const { gate } = createGate(incarnation);
  gate.onRenewed(createRenewal(0, 0), 0);
  t.equal(gate.admit(createPermit(""), 1), AgentRefusal.StampMissing);
  const foreign = createGate("00000000000000-cc").gate.createStamp(1);
  t.equal(gate.admit(createPermit(foreign), 1), AgentRefusal.StampOfOtherIncarnation);
  const stamp = gate.createStamp(100);
  t.equal(gate.admit(createPermit(stamp), 3100), null);
  t.equal(gate.admit(createPermit(stamp), 3101), AgentRefusal.StampTooOld);
  t.end();
});

// Guards against a duplicate of a request that runs it a second time (I4).
t.test("attempt ids are admitted once", (t) => {
  const { gate } = createGate(incarnation);
  gate.onRenewed(createRenewal(0, 0), 0);
  const permit = createPermit(gate.createStamp(0));
  t.equal(gate.admit(permit, 1), null);
  t.equal(gate.admit(permit, 2), AgentRefusal.AttemptRepeated);
  t.equal(gate.admit({ ...permit, attemptId: "" }, 2), AgentRefusal.AttemptMissing);
  for (let index = 0; index < 20_000; index += 1) {
    gate.admit(createPermit(permit.stamp), 3);
  }
  t.equal(gate.admit(createPermit(permit.stamp), 4), AgentRefusal.TooManyAttempts);
  t.equal(gate.admit(permit, 5), AgentRefusal.AttemptRepeated);
  t.end();
});

// Guards against requests to a process that is leaving or has been replaced.
t.test("leaving and superseded agents reject requests", (t) => {
  const leaving = createGate(incarnation).gate;
  leaving.onRenewed(createRenewal(0, 0), 0);
  leaving.markLeaving();
  t.equal(leaving.getClosedReason(1), AgentRefusal.TargetLeaving);
  const superseded = createGate(incarnation).gate;
  superseded.onRenewed(createRenewal(0, 0), 0);
  superseded.markSuperseded();
  superseded.onRenewed(createRenewal(0, 0), 10);
  t.equal(superseded.getClosedReason(11), AgentRefusal.Superseded);
  t.end();
});
