import { spawn } from "node:child_process";
import { existsSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import t from "tap";
import { ControlFleet } from "@clementinemux/bench/control/ControlFleet";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { GroupLeaseResponse } from "@clementinemux/messages/GroupLeaseResponse";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import { MapDecision } from "@clementinemux/messages/MapDecision";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";

const programs = join(process.cwd(), "dist");
const deadlineMs = 15_000;

// Reached only when the test hangs: real processes and elections are slow on a busy machine.
t.setTimeout(200_000);

function propose(client: ControlClient, revision: number, change?: ConfigChange): Promise<ProposeResponse> {
  const drain = { reason: "test", author: "ann", sinceMs: 1 };
  const drained = { kind: ConfigChangeKind.DrainTarget as const, target: `t${revision % 5}`, drain };
  const request = { author: "ann", requestId: `r-${revision}`, baseRevision: revision };
  return client
    .propose({ ...request, change: change ?? drained }, deadlineMs)
    .then((answer) => answer.unsafeCoerce());
}

async function readConfig(fleet: ControlFleet, index: number): Promise<FleetConfig> {
  const { body } = await fleet.callApi(index, "GET", "/v1/config", null);
  return (body as { config: FleetConfig }).config;
}

// Guards against a leader of a rank group that decides after another has its lease, against a lease that
// never passes on, and against map decisions that are lost or changed by a snapshot and a new leader of the
// log.
t.test("an expired group lease passes on and old epochs decide nothing", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3, settings: { snapshotEntries: 10 } }, programs);
  t.teardown(() => fleet.stop());
  const client = fleet.createClient();
  t.teardown(() => {
    client.close();
  });
  const lease = async (holder: string): Promise<GroupLeaseResponse> =>
    (await client.groupLease({ group: "g", holder, incarnation: "1" }, deadlineMs)).unsafeCoerce();
  const decide = async (epoch: number, version: number, decision: MapDecision): Promise<unknown> =>
    (await client.decideMap({ group: "g", epoch, version, decision }, deadlineMs)).extract();
  t.match(await lease("a"), { granted: true, epoch: 1, mapVersion: 0 });
  t.match(await lease("b"), { granted: false, holder: "a" });
  t.match(await decide(1, 1, MapDecision.Activate), { decision: MapDecision.Activate });
  // The first holder has failed and no longer renews its lease.
  const taken = await fleet.waitFor("the lease of b", async () => {
    const answer = await lease("b");
    return answer.granted ? answer : null;
  });
  t.match(taken, { holder: "b", epoch: 2, mapVersion: 1 });
  t.match(await decide(1, 2, MapDecision.Activate), Error("epoch 1 is not the present epoch 2"));
  t.match(await decide(2, 3, MapDecision.Abort), { decision: MapDecision.Abort });
  for (let revision = 0; revision < 30; revision += 1) {
    await propose(client, revision);
  }
  await fleet.kill(await fleet.waitForLeader("config"));
  t.match(await decide(2, 1, MapDecision.Abort), { version: 1, decision: MapDecision.Activate });
  t.match(await decide(2, 2, MapDecision.Activate), { version: 2, decision: MapDecision.Abort });
  t.match(await decide(1, 4, MapDecision.Activate), Error("epoch 1 is not the present epoch 2"));
});

// Guards against a request that is applied again because a snapshot has replaced the log entries with it.
t.test("retry after a snapshot and a restart gets the first response", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3, settings: { snapshotEntries: 10 } }, programs);
  t.teardown(() => fleet.stop());
  const client = fleet.createClient();
  t.teardown(() => {
    client.close();
  });
  const first = await propose(client, 0);
  t.equal(first.outcome, ProposeOutcome.Accepted);
  for (let revision = 1; revision < 40; revision += 1) {
    await propose(client, revision);
  }
  for (const [index, { dataFolder }] of fleet.replicas.entries()) {
    await fleet.waitFor("a snapshot", () =>
      Promise.resolve(existsSync(join(dataFolder, "config", "snapshot")) ? true : null),
    );
    await fleet.kill(index);
  }
  fleet.replicas.forEach((_, index) => {
    fleet.spawn(index);
  });
  t.same(await propose(client, 0), first);
  t.equal((await propose(client, 40)).revision, 41);
});

// Guards against an exception that stays in effect after its expiry.
t.test("exception expires in running processes", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  const client = fleet.createClient();
  t.teardown(() => {
    client.close();
  });
  const nowMs = Date.now();
  const exception = {
    ...{ id: "e", reason: "month end", author: "ann", createdAtMs: nowMs, expiresAtMs: nowMs + 1500 },
    ...{ selector: { team: "t" }, override: { weight: 2 } },
  };
  const added = await propose(client, 0, { kind: ConfigChangeKind.AddException, exception });
  t.equal(added.outcome, ProposeOutcome.Accepted);
  for (const index of fleet.replicas.keys()) {
    const config = await fleet.waitFor("the expiry", async () => {
      const known = await readConfig(fleet, index);
      return known.revision >= 2 ? known : null;
    });
    t.same(config.exceptions, []);
    t.ok(Date.now() >= exception.expiresAtMs);
  }
});

function findPort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const bound = server.address();
      server.close(() => {
        resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
      });
    });
  });
}

// Guards against a relay without a log replica that serves no requests, or grants leases that no leader
// confirms.
t.test("relay without a data folder grants while it reaches the leader", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  const client = fleet.createClient();
  t.teardown(() => {
    client.close();
  });
  await propose(client, 0);
  const port = await findPort();
  const settingsFile = join(fleet.folder, "relay.jsonc");
  const cluster = { failureDomain: "fd-1", region: "local", replicas: fleet.addresses };
  writeFileSync(settingsFile, JSON.stringify({ name: "relay-1", port, ...cluster }));
  const program = join(programs, "clementinemux-control.mjs");
  const child = spawn(process.execPath, [program, "--settings", settingsFile], { stdio: "ignore" });
  const relay = new RpcClient({ address: parseAddress(`127.0.0.1:${port}`) });
  t.teardown(() => {
    relay.close();
    child.kill("SIGKILL");
  });
  const renew = async (): Promise<RenewResponse | null> => {
    const request = { holder: "entry-1", incarnation: "1", kind: LeaseholderKind.Entry };
    const body = { ...request, failureDomain: "fd-1", region: "local", appliedRevision: 0 };
    return (await relay.call(MessageName.Renew, body, 500))
      .toMaybe()
      .extractNullable() as RenewResponse | null;
  };
  const granted = await fleet.waitFor("a confirmed renewal", async () => {
    const answer = await renew();
    return answer?.confirmed === true ? answer : null;
  });
  t.match(granted, { revision: 1, changes: [{ revision: 1 }] });
  t.ok(granted.leaseMs > 0);
  t.same((await relay.call(MessageName.FetchTargets, {}, 500)).extract(), []);
  fleet.replicas.forEach((_, index) => {
    fleet.signal(index, "SIGSTOP");
  });
  const refused = await fleet.waitFor("the end of the lease", async () => {
    const answer = await renew();
    return answer?.confirmed === false ? answer : null;
  });
  t.match(refused, { confirmed: false, leaseMs: 0, revision: 1 });
  fleet.replicas.forEach((_, index) => {
    fleet.signal(index, "SIGCONT");
  });
  await fleet.waitFor("a renewal after the cut", async () =>
    (await renew())?.confirmed === true ? true : null,
  );
});
