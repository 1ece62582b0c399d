import t from "tap";
import { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";

function target(fields: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id: "t-1",
    service: "app",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 4,
    isDraining: false,
    isLeaving: false,
    isGone: false,
    bornMs: 1000,
    sequence: 1,
    ...fields,
  };
}

t.test("late heartbeats of an earlier incarnation are dropped", (t) => {
  const registry = new TargetRegistry();
  registry.put(target({ bornMs: 2000, sequence: 1 }), 0);
  t.notOk(registry.put(target({ bornMs: 1000, sequence: 99, isDraining: true }), 1));
  t.same(
    registry.list(1).map(({ bornMs }) => bornMs),
    [2000],
  );
  t.end();
});

t.test("reordered heartbeats are applied by their sequence", (t) => {
  const registry = new TargetRegistry();
  registry.put(target({ sequence: 5, isDraining: true }), 0);
  registry.put(target({ sequence: 4 }), 1);
  t.equal(
    registry.list(1)[0]?.isDraining,
    true,
    "guards against a drain that is undone by an older heartbeat",
  );
  t.end();
});

// Guards against a leaving target that is used again after its next heartbeat, or after a late update of a
// peer.
t.test("a target that announced leaving in a response keeps leaving for its incarnation", (t) => {
  const registry = new TargetRegistry();
  registry.put(target(), 0);
  t.notOk(registry.markLeaving({ id: "t-1", bornMs: 999 }), "an earlier incarnation");
  t.ok(registry.markLeaving({ id: "t-1", bornMs: 1000 }));
  t.notOk(registry.markLeaving({ id: "t-1", bornMs: 1000 }), "already known");
  registry.put(target({ sequence: 2 }), 1);
  t.equal(registry.list(1)[0]?.isLeaving, true);
  const other = new TargetRegistry();
  other.put(target({ sequence: 3 }), 1);
  const before = other.lastChangeNumber;
  t.ok(other.put(target({ sequence: 2, isLeaving: true }), 2, "peer"));
  t.match(other.list(2), [{ isLeaving: true, sequence: 3 }]);
  t.ok(other.lastChangeNumber > before, "gateways are notified");
  registry.put(target({ bornMs: 2000 }), 3);
  t.equal(registry.list(3)[0]?.isLeaving, false, "a later incarnation is another target");
  t.end();
});

t.test("a target that has unregistered does not return in the same incarnation", (t) => {
  const registry = new TargetRegistry();
  registry.put(target({ sequence: 5 }), 0);
  registry.remove("t-1", 1);
  registry.put(target({ sequence: 6 }), 2);
  t.same(registry.list(2), []);
  registry.put(target({ bornMs: 3000, sequence: 1 }), 3);
  t.equal(registry.list(3).length, 1, "a new incarnation of the same id is listed");
  t.end();
});

t.test("an address belongs to the target that started last", (t) => {
  const registry = new TargetRegistry();
  registry.put(target(), 0);
  registry.put(target({ id: "t-2", service: "other", bornMs: 2000 }), 1);
  registry.put(target({ sequence: 2 }), 2);
  t.same(
    registry.list(2).map(({ id }) => id),
    ["t-2"],
    "guards against requests that are sent to another service",
  );
  t.end();
});

t.test("a target that times out is not listed, and that is a change", (t) => {
  const registry = new TargetRegistry();
  registry.put(target(), 0);
  const before = registry.lastChangeNumber;
  registry.expire(4400);
  t.equal(registry.lastChangeNumber, before);
  registry.expire(4600);
  t.ok(registry.lastChangeNumber > before);
  t.same(registry.list(4600), []);
  t.end();
});

// Guards against gateways that never use a target again after its instance was stalled. They fetch the list
// only if its change number differs, and the list with the target had the same number as the one without it.
t.test("a target that returns after a timeout is a change", (t) => {
  const registry = new TargetRegistry();
  const expectChange = (what: string, nowMs: number, action: () => void): void => {
    const before = registry.lastChangeNumber;
    action();
    t.equal(registry.list(nowMs).length, 1, what);
    t.ok(registry.lastChangeNumber > before, `${what}: gateways are notified`);
  };
  registry.put(target(), 0);
  registry.expire(4600);
  expectChange("its own heartbeat", 5000, () => registry.put(target({ sequence: 2 }), 5000));
  registry.expire(9600);
  expectChange("update of another coordinator, received before the timeout was detected", 9700, () =>
    registry.put(target({ sequence: 2 }), 9450, "peer"),
  );
  t.same(registry.list(14_000), [], "the list is requested before the timeout is detected");
  expectChange("a heartbeat after such a list", 14_010, () => registry.put(target({ sequence: 3 }), 14_010));
  t.end();
});

t.test("updates are not sent back to the peer that they came from", (t) => {
  const registry = new TargetRegistry();
  registry.put(target(), 10, "peer-a");
  t.equal(registry.seenSince(0, "peer-a").length, 0);
  t.equal(registry.seenSince(0, "peer-b").length, 1);
  t.equal(registry.changedSince(0).length, 1);
  t.end();
});

t.test("callers get the ready entries of their failure domain if there are enough", (t) => {
  const registry = new EntryRegistry();
  const entry = { incarnation: "1", isReady: true, inFlight: { "t-1": 2 } };
  registry.put({ ...entry, name: "a1", address: "a1", failureDomain: "a" }, 0, null);
  registry.put({ ...entry, name: "a2", address: "a2", failureDomain: "a" }, 0, null);
  registry.put({ ...entry, name: "b1", address: "b1", failureDomain: "b" }, 0, "peer");
  t.same(registry.listAddresses("a", 2, 1), ["a1", "a2"]);
  t.same(registry.listAddresses("b", 2, 1), ["a1", "a2", "b1"]);
  t.same(registry.sumInFlight("a1", 1), { "t-1": 4 });
  registry.put({ ...entry, name: "a2", address: "a2", failureDomain: "a", isReady: false }, 2, null);
  t.same(registry.listAddresses("a", 1, 3), ["a1"], "a stopping entry is not listed");
  t.same(registry.listAddresses("a", 1, 3000), [], "an entry without reports is not listed");
  t.end();
});

// Guards against targets that look idle because some gateways are of an earlier release, which reports no work.
t.test("remaining work is summed, and requests without a report count with the mean", (t) => {
  const registry = new EntryRegistry();
  const entry = { incarnation: "1", isReady: true, address: "a", failureDomain: "a" };
  registry.put({ ...entry, name: "e1", inFlight: { "t-1": 2, "t-2": 1 } }, 0, null);
  t.equal(registry.sumRemaining("e9", ["t-1", "t-2"], 1), null, "nobody reports work");
  registry.put({ ...entry, name: "e2", inFlight: { "t-2": 2, "t-1": 1 }, remainingCs: [30, 60] }, 0, "peer");
  registry.put({ ...entry, name: "e3", inFlight: { "t-1": 3 }, remainingCs: [30] }, 0, null);
  t.same(registry.sumRemaining("e9", ["t-1", "t-2", "t-3"], 1), [130, 50, 0]);
  t.same(registry.sumRemaining("e1", ["t-1", "t-2"], 1), [90, 30]);
  const cut = { ...entry, name: "e3", inFlight: { "t-1": 3, "t-2": 1 }, remainingCs: [30] };
  registry.put(cut, 1, null);
  t.same(registry.sumRemaining("e1", ["t-1"], 2), [150], "a report that does not fit counts as none");
  t.end();
});

// Guards against gateways that count their own waiting requests as those of others, or those of a frozen one for ever.
t.test("waiting requests are summed over all other live entries", (t) => {
  const registry = new EntryRegistry();
  const entry = { incarnation: "1", address: "x", failureDomain: "a", isReady: true, inFlight: {} };
  registry.put({ ...entry, name: "a1", waiting: { app: { 0: 1, 2: 5 } } }, 0, null);
  registry.put({ ...entry, name: "a2", waiting: { app: { 0: 2 }, other: { 1: 7 } } }, 0, "peer");
  registry.put({ ...entry, name: "earlier-release" }, 0, null);
  t.same(registry.sumWaiting("a1", 1), { app: { 0: 2 }, other: { 1: 7 } });
  t.same(registry.sumWaiting("earlier-release", 1), { app: { 0: 3, 2: 5 }, other: { 1: 7 } });
  t.same(registry.sumWaiting("a1", 1500), {}, "a frozen entry counts until its record expires");
  t.end();
});

// Guards against sending callers to a stalled entry until it times out.
t.test("an entry that has missed some reports is listed only if there are too few others", (t) => {
  const registry = new EntryRegistry();
  const entry = { incarnation: "1", isReady: true, inFlight: {}, failureDomain: "a" };
  const put = (name: string, nowMs: number): void => {
    registry.put({ ...entry, name, address: name }, nowMs, null);
  };
  for (const name of ["a1", "a2", "a3"]) {
    put(name, 0);
  }
  put("a1", 1000);
  put("a2", 1000);
  t.same(registry.listAddresses("a", 2, 1000), ["a1", "a2"]);
  t.same(registry.listAddresses("a", 3, 1000), ["a1", "a2", "a3"], "three are required");
  t.same(
    registry.listAddresses("a", 2, 1000 + 950),
    ["a1", "a2"],
    "none has reported recently, as after a restart of this process",
  );
  t.end();
});

// Guards against a restarted process that stalls while it receives thousands of targets, and against an address that is looked up where
// its target no longer is.
t.test("an address belongs to the target that announced it last", (t) => {
  const registry = new TargetRegistry();
  registry.put(target({ id: "moved", address: "10.0.0.1:80", bornMs: 5 }), 0);
  registry.put(target({ id: "moved", address: "10.0.0.2:80", bornMs: 6 }), 0);
  t.ok(registry.put(target({ id: "earlier", address: "10.0.0.1:80", bornMs: 4 }), 0), "the address is free");
  t.notOk(registry.put(target({ id: "late", address: "10.0.0.2:80", bornMs: 5 }), 0));
  registry.put(target({ id: "next", address: "10.0.0.2:80", bornMs: 7 }), 0);
  t.same(
    registry.list(1).map(({ id }) => id),
    ["earlier", "next"],
  );
  registry.expire(70_000);
  t.ok(registry.put(target({ id: "late", address: "10.0.0.2:80", bornMs: 5 }), 70_000));
  t.end();
});
