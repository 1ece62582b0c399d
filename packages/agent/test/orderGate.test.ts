import fc from "fast-check";
import t from "tap";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { AgentRefusal } from "@clementinemux/agent/AgentRefusal";
import { ConfigView } from "@clementinemux/agent/ConfigView";
import { OrderGate } from "@clementinemux/agent/OrderGate";
import { formatStamp } from "@clementinemux/agent/formatStamp";

const orderMaxAgeMs = 2000;

function createGate(incarnation: string): OrderGate {
  return new OrderGate(
    incarnation,
    new ConfigView({ target: "runner-1", kind: TargetKind.Engine, service: "" }),
  );
}

function createOrder(epoch: number, incarnation: string, issuedAtMs: number) {
  return { epoch, stamp: formatStamp({ incarnation, issuedAtMs }), order: { load: "m" } };
}

// Guards against an order of a replaced leader that arrives after the new leader's.
t.test("old epoch is rejected", (t) => {
  const gate = createGate("1");
  t.equal(gate.admit(createOrder(7, "1", 0), 1), null);
  t.equal(gate.admit(createOrder(6, "1", 1), 2), AgentRefusal.EpochTooOld);
  t.equal(gate.admit(createOrder(7, "1", 1), 2), null);
  t.end();
});

// Guards against a rejected order that raises the epoch, so that orders of the current leader are rejected.
t.test("rejected order does not raise the epoch", (t) => {
  const gate = createGate("1");
  t.equal(gate.admit(createOrder(99, "0", 0), 1), AgentRefusal.StampOfOtherIncarnation);
  t.equal(gate.highestEpoch, -1);
  t.equal(gate.admit(createOrder(7, "1", 0), 1), null);
  t.end();
});

// Guards against a restarted agent that has not seen an epoch and accepts orders of an old leader.
t.test("restarted agent rejects orders of an old leader", (t) => {
  const gate = createGate("2");
  t.equal(gate.admit(createOrder(6, "1", 0), 1), AgentRefusal.StampOfOtherIncarnation);
  t.equal(gate.admit(createOrder(6, "2", 0), orderMaxAgeMs + 1), AgentRefusal.StampTooOld);
  t.equal(gate.admit({ epoch: 6, stamp: "", order: {} }, 1), AgentRefusal.StampMissing);
  t.end();
});

// Guards against a suspended leader that resumes. Its successor sends its first order after waiting
// orderMaxAgeMs; from then on no order of the old leader may reach an engine that ignores fencing, even if
// the agent restarts.
t.test("orders of a replaced leader are rejected on any schedule", (t) => {
  const step = fc.record({
    gapMs: fc.integer({ min: 0, max: 1500 }),
    kind: fc.constantFrom("restart", "old", "new"),
    stampAgeMs: fc.integer({ min: 0, max: 6000 }),
  });
  fc.assert(
    fc.property(
      fc.array(step, { maxLength: 40 }),
      fc.integer({ min: 0, max: 4000 }),
      (steps, suspendedAtMs) => {
        let nowMs = 10_000;
        let incarnation = 1;
        let startedAtMs = 0;
        let gate = createGate("1");
        // The old leader fetched stamps until it was suspended; the new one is elected then and waits.
        const lastOldStampMs = nowMs + suspendedAtMs;
        const firstNewOrderMs = lastOldStampMs + orderMaxAgeMs;
        let newOrderSent = false;
        for (const { gapMs, kind, stampAgeMs } of steps) {
          nowMs += gapMs;
          if (kind === "restart") {
            incarnation += 1;
            startedAtMs = nowMs;
            gate = createGate(String(incarnation));
          } else if (kind === "new" && nowMs > firstNewOrderMs) {
            newOrderSent = true;
            gate.admit(createOrder(2, String(incarnation), nowMs), nowMs);
          } else if (kind === "old") {
            const issuedAtMs = Math.min(nowMs - stampAgeMs, lastOldStampMs);
            const stampIncarnation = issuedAtMs >= startedAtMs ? incarnation : incarnation - 1;
            const refusal = gate.admit(createOrder(1, String(stampIncarnation), issuedAtMs), nowMs);
            t.ok(refusal !== null || !newOrderSent, "order of the old leader reached the engine");
          }
        }
      },
    ),
    { seed: 3, numRuns: 500 },
  );
  t.end();
});
