import { Right } from "purify-ts/Either";
import t from "tap";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import { LeaseTable } from "@clementinemux/control/LeaseTable";
import { ServingRelay } from "@clementinemux/control/ServingRelay";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";

const drain = { reason: "r", author: "ann", sinceMs: 1 };
const change = { kind: ConfigChangeKind.DrainTarget as const, target: "t1", drain };

function createRelay(): {
  relay: ServingRelay;
  sent: RenewRequest[];
  time: { nowMs: number };
  answer: { revision: number; confirmed: boolean };
} {
  const time = { nowMs: 0 };
  const sent: RenewRequest[] = [];
  const answer = { revision: 0, confirmed: true };
  const call = (_group: string, _name: string, body: RenewRequest) => {
    sent.push(body);
    // The response takes 100 ms; the lease has to count from when the request was sent.
    time.nowMs += 100;
    const changes = answer.revision === 0 ? [] : [{ revision: 1, change }];
    return Promise.resolve(Right({ epoch: 1, leaseMs: 4000, changes, config: null, ...answer }));
  };
  const relay = new ServingRelay({
    name: "relay",
    incarnation: "1",
    failureDomain: "fd-1",
    region: "local",
    client: { call } as unknown as ControlClient,
    clock: { monotonicMs: () => time.nowMs, wallMs: () => time.nowMs },
    maxClockDriftShare: 0.01,
  });
  return { relay, sent, time, answer };
}

function createRenewal(holder: string, appliedRevision: number): RenewRequest {
  const location = { failureDomain: "fd-1", region: "local" };
  return { holder, incarnation: "1", kind: LeaseholderKind.Entry, ...location, appliedRevision };
}

// Guards against a lease that outlives the leader's confirmation, or is granted without one.
t.test("relay grants at most the remaining time of its own lease", async (t) => {
  const { relay, time, answer } = createRelay();
  t.match(relay.grant(createRenewal("e1", 0)), { confirmed: false, leaseMs: 0 });
  await relay.renew();
  t.match(relay.grant(createRenewal("e1", 0)), { confirmed: true, leaseMs: 3900 });
  time.nowMs = 3500;
  answer.confirmed = false;
  await relay.renew();
  t.match(relay.grant(createRenewal("e1", 0)), { confirmed: true, leaseMs: 400 });
  time.nowMs = 4000;
  t.match(relay.grant(createRenewal("e1", 0)), { confirmed: false, leaseMs: 0 });
});

// Guards against reporting a revision as in effect while a leaseholder may still serve an older one.
t.test("relay reports its slowest leaseholder until the lease has ended", async (t) => {
  const { relay, sent, time, answer } = createRelay();
  await relay.renew();
  relay.grant(createRenewal("e1", 0));
  answer.revision = 1;
  await relay.renew();
  t.match(relay.grant(createRenewal("e2", 0)), { revision: 1, changes: [{ revision: 1 }] });
  relay.grant(createRenewal("e2", 1));
  await relay.renew();
  t.match(sent.at(-1), { appliedRevision: 0, viewRevision: 1 });
  time.nowMs = 4090;
  await relay.renew();
  t.match(sent.at(-1), { appliedRevision: 1 });
});

// Guards against a relay that never renews again after a malformed response.
t.test("relay renews again after a malformed part", async (t) => {
  const { relay, answer } = createRelay();
  Object.assign(answer, { inParts: true });
  await t.rejects(relay.renew());
  t.equal(relay.isConfirmed, false);
  Object.assign(answer, { inParts: false });
  await relay.renew();
  t.equal(relay.isConfirmed, true);
});

// Guards against a reduced lease length that hides a longer lease that is still valid.
t.test("table keeps the latest expiry of a lease", (t) => {
  const table = new LeaseTable();
  table.recordRenewal("e1", "1", "local", 3, 4000);
  table.recordRenewal("e1", "1", "local", 4, 1500);
  table.recordRenewal("e1", "2", "local", 7, 5000);
  t.equal(table.getLowestRevision(2000, 9), 4);
  t.equal(table.getLowestRevision(4000, 9), 7);
  t.equal(table.getLowestRevision(5000, 9), 9);
  t.end();
});

// Guards against a relay that encodes all exceptions for each of hundreds of agents that start together, and
// against an agent that does not receive its own drain or an entry that does not receive the exceptions.
t.test("agent gets its part of a whole configuration", async (t) => {
  const { relay } = createRelay();
  const exception = {
    ...{ id: "x", reason: "r", author: "ann", createdAtMs: 1, expiresAtMs: null },
    ...{ selector: { team: "a" }, override: { weight: 2 } },
  };
  const config = {
    ...createDefaultConfig(),
    revision: 5,
    exceptions: [exception],
    drains: { t1: drain, t2: drain },
  };
  relay.view.update({ revision: 5, changes: [], config });
  await relay.renew();
  const agent = { ...createRenewal("t1", 0), kind: LeaseholderKind.Agent };
  t.same(relay.grant(agent).config, { ...config, exceptions: [], drains: { t1: drain } });
  t.same(relay.grant({ ...agent, holder: "t9" }).config?.drains, {});
  t.same(relay.grant(createRenewal("e1", 0)).config, config);
});
