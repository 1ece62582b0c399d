import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const oddIds = ["\n", "i\u0000", "i\u007f", "i-\u2019", "i-\u{1f600}"];
/** Ids that may name a target, and that objects inherit properties for. */
const inheritedIds = ["constructor", "toString", "__proto__", "hasOwnProperty"];

function createRecord(id: string, address: string): TargetRecord {
  return {
    ...{ id, service: "app", address, failureDomain: "a", slots: 4, bornMs: 1, sequence: 1 },
    ...{ isDraining: false, isLeaving: false, isGone: false },
  };
}

// Guards against an id in the list that ends each gateway, as coordinators of earlier releases accept any (review/3).
t.test("listed ids that no header can carry name no target", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { gateway, state, call, stop } = await startGateway(createDocument(1), [target]);
  state.otherTargets.push(...oddIds.map((id) => createRecord(id, "127.0.0.1:9")));
  await delay(500);
  t.equal(gateway.view.state.targets.length, 1);
  for (let request = 0; request < 20; request += 1) {
    t.equal((await call({ path: "/p0/" }, `r${request}`)).status, 200);
  }
  await stop();
});

// Guards against an id for which records have an inherited property in place of a number: its target got no requests.
t.test("a target may be named like an inherited property", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { state, call, stop } = await startGateway(createDocument(1), [target]);
  state.otherTargets.push(...inheritedIds.map((id) => createRecord(id, target.address)));
  await delay(500);
  for (let request = 0; request < 60; request += 1) {
    t.equal((await call({ path: "/p0/" }, `r${request}`)).status, 200);
  }
  const chosen = target.requests.map(({ head }) => /x-target: (\S+)/.exec(head)?.[1]);
  t.same([...new Set(chosen)].sort(), ["t-0", ...inheritedIds].sort());
  await stop();
});

// Guards against an odd id that one coordinator passes on to the others.
t.test("the registry takes no id that no header can carry", (t) => {
  const registry = new TargetRegistry();
  for (const id of oddIds) {
    t.equal(registry.put(createRecord(id, "127.0.0.1:9"), 1), false);
  }
  t.equal(registry.put(createRecord("i-1", "127.0.0.1:9"), 1), true);
  t.same(
    registry.list(2).map(({ id }) => id),
    ["i-1"],
  );
  t.end();
});
