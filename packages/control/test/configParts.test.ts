import { join } from "node:path";
import t from "tap";
import { RelayClient } from "@clementinemux/agent/RelayClient";
import { ControlFleet } from "@clementinemux/bench/control/ControlFleet";
import { LeaseholderClient } from "@clementinemux/bench/control/LeaseholderClient";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { ConfigCommandKind } from "@clementinemux/control/ConfigCommandKind";
import { ConfigStateMachine } from "@clementinemux/control/ConfigStateMachine";
import { ConfigParts } from "@clementinemux/control/ConfigParts";
import { ConfigView } from "@clementinemux/control/ConfigView";
import { completeRenewal } from "@clementinemux/control/completeRenewal";
import { RelayCaller } from "@clementinemux/entry/RelayCaller";
import { RpcLeaseClient } from "@clementinemux/entry/RpcLeaseClient";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";
import type { InForceResponse } from "@clementinemux/messages/InForceResponse";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { FrameKind } from "@clementinemux/wire/FrameKind";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { encodeFrame } from "@clementinemux/wire/encodeFrame";

// Reached only when the test hangs: thousands of commits by real processes are slow on a busy machine.
t.setTimeout(200_000);

const teams = 4100;
const reason = "r".repeat(1000);

function createException(index: number): ConfigChange {
  const exception = {
    ...{ id: `e-${index}`, reason, author: "ann", createdAtMs: 1, expiresAtMs: null },
    ...{ selector: { team: `team-${index}` }, override: { weight: 2 } },
  };
  return { kind: ConfigChangeKind.AddException, exception };
}

function createConfig(revision: number): FleetConfig {
  const exceptions = Array.from({ length: teams }, (_, index) => createException(index)).flatMap((change) =>
    change.kind === ConfigChangeKind.AddException ? [change.exception] : [],
  );
  return { ...createDefaultConfig(), revision, exceptions };
}

function createAnswer(config: FleetConfig, appliedRevision: number): RenewResponse {
  const { revision } = config;
  const missing = ConfigView.selectMissing(config, [], appliedRevision);
  return { epoch: 1, revision, confirmed: true, leaseMs: 4000, ...missing };
}

// Guards against a part that does not fit into a frame, and against a result mixed from two revisions.
t.test("fetch restarts when the revision changes", async (t) => {
  const parts = new ConfigParts();
  let config = createConfig(5000);
  let nowMs = 0;
  let calls = 0;
  const fetchPart = (request: FetchConfigRequest): Promise<ConfigPart | null> => {
    calls += 1;
    if (calls === 4) {
      nowMs += 60_000;
      config = { ...config, revision: 5001, exceptions: config.exceptions.slice(1) };
    }
    const part = parts.read(config, request, nowMs);
    encodeFrame({ kind: FrameKind.Response, id: 1, name: MessageName.FetchConfig, body: part });
    return Promise.resolve(part);
  };
  const answer = createAnswer(config, 0);
  t.match(answer, { config: null, changes: [], inParts: true });
  t.same((await completeRenewal(answer, fetchPart)).config, config);
  t.equal(config.revision, 5001);
  t.end();
});

// Guards against fetches that restart because another leaseholder fetches, or because changes continue.
t.test("concurrent fetches read one revision", async (t) => {
  const parts = new ConfigParts();
  let config = createConfig(5000);
  const fetchPart = (request: FetchConfigRequest): Promise<ConfigPart> => {
    config = { ...config, revision: config.revision + 1 };
    return Promise.resolve(parts.read(config, request, 0));
  };
  const answer = createAnswer(config, 0);
  const all = await Promise.all([completeRenewal(answer, fetchPart), completeRenewal(answer, fetchPart)]);
  t.same(
    all.map((completed) => completed.config?.revision),
    [5001, 5001],
  );
  t.end();
});

// Guards against a corrupt or incomplete fetch that is accepted as a configuration, or that never ends.
t.test("failed fetch returns no configuration", async (t) => {
  const config = createConfig(5000);
  const parts = new ConfigParts();
  const answer = createAnswer(config, 0);
  const damages: ((part: ConfigPart) => ConfigPart | null)[] = [
    (part) => (part.offset > 0 ? null : part),
    (part) => ({ ...part, data: Buffer.from(part.data).fill(0, 100, 110) }),
    (part) => ({ ...part, data: part.data.subarray(0, 0) }),
    (part) => ({ ...part, totalBytes: 1e9 }),
  ];
  for (const damage of damages) {
    const fetchPart = (request: FetchConfigRequest): Promise<ConfigPart | null> =>
      Promise.resolve(damage(parts.read(config, request, 0)));
    t.equal((await completeRenewal(answer, fetchPart)).config, null);
  }
  t.end();
});

// Guards against a size limit that is too low for an exception for every team, or that does not stop the
// growth.
t.test("configuration is bounded by its size", (t) => {
  const machine = new ConfigStateMachine();
  const propose = (index: number): ProposeResponse => {
    const request = { author: "ann", requestId: `r-${index}`, baseRevision: index };
    const change = createException(index);
    return machine.apply({
      ...{ kind: ConfigCommandKind.Propose, nowMs: 1 },
      request: { ...request, change },
    }) as ProposeResponse;
  };
  let count = 0;
  while (count < 20_000 && propose(count).outcome === ProposeOutcome.Accepted) {
    count += 1;
  }
  t.ok(count > teams && count < 8389, `${count} exceptions of 1,000 bytes and more`);
  t.end();
});

// Guards against an entry or an agent that cannot receive a configuration larger than a frame.
t.test("entry and agent fetch a configuration in parts", async (t) => {
  const config = createConfig(5000);
  const parts = new ConfigParts();
  const server = new RpcServer({
    handlers: {
      [MessageName.Renew]: (body) => createAnswer(config, (body as RenewRequest).appliedRevision),
      [MessageName.FetchConfig]: (body) => parts.read(config, body as FetchConfigRequest, 0),
    },
  });
  const address = `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
  const caller = new RelayCaller([address], undefined);
  const location = { failureDomain: "fd-1", region: "local" };
  const request = { holder: "entry-1", incarnation: "1", kind: LeaseholderKind.Entry, ...location };
  const leases = new RpcLeaseClient(caller, 5000);
  t.same((await leases.renew({ ...request, appliedRevision: 0 }))?.config, config);
  const renewed: RenewResponse[] = [];
  const announcement = {
    ...{ target: "runner-1", incarnation: "1", address: "127.0.0.1:1", kind: TargetKind.Service },
    ...location,
  } as unknown as TargetAnnouncement;
  const link = new RelayClient({
    ...{ relays: [address], tls: undefined, announcement, clock: new SystemClock(), random: () => 0.5 },
    getRevision: () => 0,
    onRenewed: (response) => renewed.push(response),
    onSuperseded: () => undefined,
  });
  await link.renew();
  t.same(renewed[0]?.config, config);
  link.close();
  caller.close();
  await server.close();
});

// Guards against relays, restarted replicas and leaseholders that never receive a configuration larger than a
// frame, and against a change to it that never takes effect.
t.test("large configuration reaches relays and leaseholders of running processes", async (t) => {
  const programs = join(process.cwd(), "dist");
  const fleet = await ControlFleet.start({ replicas: 3, settings: { snapshotEntries: 1000 } }, programs);
  t.teardown(() => fleet.stop());
  const client = fleet.createClient();
  const leader = await fleet.waitForLeader("config");
  const [lagging = 0] = [0, 1, 2].filter((index) => index !== leader);
  await fleet.kill(lagging);
  const propose = async (revision: number): Promise<void> => {
    const request = { author: "ann", requestId: `r-${revision}`, baseRevision: revision };
    const answer = await client.propose({ ...request, change: createException(revision) }, 15_000);
    t.equal(answer.unsafeCoerce().outcome, ProposeOutcome.Accepted);
  };
  for (let revision = 0; revision < teams; revision += 1) {
    await propose(revision);
  }
  fleet.spawn(lagging);
  const holder = new LeaseholderClient("entry-1", fleet.addresses[lagging] ?? "");
  t.teardown(() => {
    holder.close();
    client.close();
  });
  await fleet.waitFor("a serving holder", () =>
    Promise.resolve(holder.isServing && holder.view.config.revision === teams ? true : null),
  );
  t.equal(holder.view.config.exceptions.length, teams);
  await propose(teams);
  await fleet.waitFor("the change in effect", async () => {
    const body = { revision: teams + 1 };
    const answer = await client.call<InForceResponse>("config", MessageName.InForce, body, 15_000);
    return answer.unsafeCoerce().inForce ? true : null;
  });
  t.equal(holder.view.config.revision, teams + 1);
});
