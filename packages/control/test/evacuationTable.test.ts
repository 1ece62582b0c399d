import { encode } from "cbor-x";
import fc from "fast-check";
import t from "tap";
import type { EvacuationState } from "@clementinemux/control/evacuation/EvacuationState";
import { changeEvacuations } from "@clementinemux/control/evacuation/changeEvacuations";
import { RouteStateMachine } from "@clementinemux/control/routes/RouteStateMachine";

/** Creates the command of a change that is based on a state, as the leader does. */
function createCommand(base: EvacuationState, failureDomain: string, isEvacuated: boolean) {
  const state = changeEvacuations(base, { failureDomain, isEvacuated });
  return { version: 0, bytes: new Uint8Array(), evacuation: { baseRevision: base.revision, state } };
}

/** Applies a change that is based on the present state. */
function change(machine: RouteStateMachine, failureDomain: string, isEvacuated: boolean): boolean {
  return machine.apply(createCommand(machine.evacuations.state, failureDomain, isEvacuated));
}

// Guards against a repeated call that was in transit while the evacuation was ended, and restores it.
t.test("a command that is based on an earlier revision is ignored", (t) => {
  const machine = new RouteStateMachine();
  const late = createCommand(machine.evacuations.state, "d", true);
  t.equal(change(machine, "d", true), true);
  t.equal(change(machine, "d", false), true);
  t.equal(machine.apply(late), false);
  t.match(machine.evacuations.state, { revision: 2, failureDomains: [], ended: ["d"] });
  t.end();
});

// Guards against a late command that takes effect because the later call did not change the set.
t.test("a change that leaves the set as it is raises the revision", (t) => {
  const machine = new RouteStateMachine();
  const late = createCommand(machine.evacuations.state, "d", true);
  t.equal(change(machine, "d", false), true);
  t.equal(machine.apply(late), false);
  t.match(machine.evacuations.state, { revision: 1, failureDomains: [] });
  t.end();
});

// Guards against replicas that differ, or a lost change, when many callers read and propose at once.
t.test("of commands with the same base, the first one counts, at every replica and after a snapshot", (t) => {
  const calls = fc.array(fc.tuple(fc.constantFrom("a", "b", "c"), fc.boolean(), fc.nat(3)), {
    maxLength: 30,
  });
  fc.assert(
    fc.property(calls, fc.nat(30), (drawn, snapshotAt) => {
      const [machine, other] = [new RouteStateMachine(), new RouteStateMachine()];
      const states = [machine.evacuations.state];
      const model = new Set<string>();
      for (const [at, [failureDomain, isEvacuated, behind]] of drawn.entries()) {
        const base = states[Math.max(0, states.length - 1 - behind)] ?? machine.evacuations.state;
        const command = createCommand(base, failureDomain, isEvacuated);
        const isApplied = machine.apply(command);
        t.equal(isApplied, base.revision === states.length - 1);
        if (isApplied) {
          states.push(machine.evacuations.state);
          model[isEvacuated ? "add" : "delete"](failureDomain);
        }
        if (at === snapshotAt) {
          other.restore(machine.createSnapshot());
        } else {
          other.apply(command);
        }
      }
      t.same(machine.evacuations.state.failureDomains, [...model].sort());
      t.same(other.evacuations.state, machine.evacuations.state);
    }),
  );
  t.end();
});

t.test("a snapshot holds the evacuations; one of an earlier release leaves those that are known", (t) => {
  const machine = new RouteStateMachine();
  change(machine, "b", true);
  change(machine, "a", true);
  change(machine, "b", false);
  const restored = new RouteStateMachine();
  restored.restore(machine.createSnapshot());
  t.same(restored.evacuations.state, { revision: 3, failureDomains: ["a"], ended: ["b"] });
  restored.restore(encode({ version: 5, bytes: new Uint8Array(), ends: [] }));
  t.equal(restored.version, 5);
  t.same(restored.evacuations.state, machine.evacuations.state);
  t.end();
});

// Guards against a replica that stays without evacuations after a release that knows none has compacted its log.
t.test("a replica that has lost state takes over that of the next command", (t) => {
  const [machine, lost] = [new RouteStateMachine(), new RouteStateMachine()];
  change(machine, "a", true);
  const next = createCommand(machine.evacuations.state, "b", true);
  t.same([machine.apply(next), lost.apply(next)], [true, true]);
  t.same(lost.evacuations.state, machine.evacuations.state);
  lost.restore(new RouteStateMachine().createSnapshot());
  t.same(lost.evacuations.state, machine.evacuations.state, "a snapshot of a replica that has lost state");
  t.end();
});

// Guards against memory that grows with each evacuation.
t.test("ended evacuations are bounded", (t) => {
  const machine = new RouteStateMachine();
  for (let at = 0; at < 200; at += 1) {
    change(machine, `d-${at}`, false);
  }
  t.equal(machine.evacuations.state.ended.length, 64);
  t.equal(machine.evacuations.state.ended.at(-1), "d-199");
  t.end();
});
