import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { generate } from "selfsigned";
import t from "tap";
import type { Test } from "tap";
import { ControlFleet } from "@clementinemux/bench/control/ControlFleet";
import { OperatorClient } from "@clementinemux/cli/OperatorClient";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import type { RevisionChange } from "@clementinemux/messages/RevisionChange";

const programs = join(process.cwd(), "dist");

/** Required time for a change to be in effect; see docs/CAPACITY.md. */
const changeLimitMs = 5000;

// Reached only when the test hangs: real processes and elections are slow on a busy machine.
t.setTimeout(200_000);

function createRequest(name: string, baseRevision: number, author = "ann"): ProposeRequest {
  const drain = { reason: "test", author, sinceMs: 1 };
  const change = { kind: ConfigChangeKind.DrainTarget as const, target: name, drain };
  return { author, requestId: `request-${name}`, baseRevision, change };
}

/** Proposes one change after another until it is stopped, and records the accepted ones. */
class Writer {
  readonly accepted = new Map<number, string>();
  readonly #fleet: ControlFleet;
  readonly #prefix: string;
  readonly #running: Promise<void>;
  #isStopped = false;

  constructor(fleet: ControlFleet, prefix: string) {
    this.#fleet = fleet;
    this.#prefix = prefix;
    this.#running = this.#run();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#running;
  }

  async waitForMore(count: number): Promise<void> {
    const targetSize = this.accepted.size + count;
    await this.#fleet.waitFor(`${count} accepted changes`, () =>
      Promise.resolve(this.accepted.size >= targetSize ? true : null),
    );
  }

  async #run(): Promise<void> {
    const client = this.#fleet.createClient();
    let revision = 0;
    for (let index = 0; !this.#isStopped; index += 1) {
      const name = `${this.#prefix}-${index}`;
      const answer = await client.propose(createRequest(name, revision), 15_000);
      answer.ifRight((response) => {
        ({ revision } = response);
        if (response.outcome === ProposeOutcome.Accepted) {
          this.accepted.set(revision, name);
        }
      });
    }
    client.close();
  }
}

async function readHistory(fleet: ControlFleet): Promise<Map<number, string>> {
  const index = await fleet.waitForLeader("config");
  const found = new Map<number, string>();
  for (let after = 0; ;) {
    const { body } = await fleet.callApi(index, "GET", "/v1/status", null);
    const total = (body as { revision: number }).revision;
    const page = await fleet.callApi(index, "GET", `/v1/config/history?after=0`, null);
    for (const { revision, change } of (page.body as { history: RevisionChange[] }).history) {
      found.set(revision, change.kind === ConfigChangeKind.DrainTarget ? change.target : "?");
      after = Math.max(after, revision);
    }
    if (after >= total) {
      return found;
    }
    await delay(50);
  }
}

/** Checks that every accepted change is in the configuration of every running replica. */
async function checkNothingLost(t: Test, fleet: ControlFleet, writer: Writer): Promise<void> {
  const newest = Math.max(...writer.accepted.keys());
  for (const [index, { child }] of fleet.replicas.entries()) {
    if (child === null) {
      continue;
    }
    const config = await fleet.waitFor(`revision ${newest} at replica ${index}`, async () => {
      // A replica that has just been started may not listen yet.
      const answer = await fleet.callApi(index, "GET", "/v1/config", null).catch(() => null);
      const known = answer?.body as { config: FleetConfig } | undefined;
      return known !== undefined && known.config.revision >= newest ? known.config : null;
    });
    const lost = [...writer.accepted.values()].filter((name) => !(name in config.drains));
    t.same(lost, [], `replica ${index} holds all ${writer.accepted.size} accepted changes`);
  }
  const history = await readHistory(fleet);
  const moved = [...writer.accepted].filter(
    ([revision, name]) => history.has(revision) && history.get(revision) !== name,
  );
  t.same(moved, []);
}

// Guards against acknowledged changes lost with a killed leader, and against a write that never completes.
t.test("leader killed during writes", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  const writer = new Writer(fleet, "kill");
  for (let round = 0; round < 3; round += 1) {
    await writer.waitForMore(20);
    const leader = await fleet.waitForLeader("config");
    await fleet.kill(leader);
    await writer.waitForMore(20);
    fleet.spawn(leader);
  }
  await writer.stop();
  await checkNothingLost(t, fleet, writer);
});

// Guards against a suspended leader that serves stale state, or commits, after its lease has expired.
t.test("leader stopped for longer than its lease", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  const writer = new Writer(fleet, "stop");
  await writer.waitForMore(10);
  const old = await fleet.waitForLeader("config");
  fleet.signal(old, "SIGSTOP");
  await writer.waitForMore(20);
  fleet.signal(old, "SIGCONT");
  const stale = await fleet.getStatus(old);
  t.equal(stale?.some(({ name, hasLease }) => name === "config" && hasLease) ?? false, false);
  await writer.waitForMore(20);
  await writer.stop();
  await checkNothingLost(t, fleet, writer);
});

// Guards against commands that each wait for the timeout of a suspended leader, which took up to 17 s.
t.test("changes by the command line's client while the leader is stopped", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  const leader = await fleet.waitForLeader("config");
  const order = [leader, ...[0, 1, 2].filter((index) => index !== leader)];
  const controlUrls = order.map((index) => `http://127.0.0.1:${fleet.replicas[index]?.apiPort ?? 0}`);
  fleet.signal(leader, "SIGSTOP");
  t.teardown(() => {
    fleet.signal(leader, "SIGCONT");
  });
  for (const name of ["one", "two", "three"]) {
    // A new client for each change, as each command runs in its own process.
    const client = new OperatorClient({ controlUrls, token: "token-ann", ca: null, timeoutMs: 30_000 });
    const startedAtMs = performance.now();
    const { revision } = await client.getConfig();
    const { change } = createRequest(name, revision);
    const answer = await client.propose("ann", revision, change, false);
    const tookMs = performance.now() - startedAtMs;
    t.match(answer.body, { outcome: ProposeOutcome.Accepted });
    t.ok(tookMs < changeLimitMs, `change ${name} after ${Math.round(tookMs)} ms`);
    await client.close();
  }
});

// Guards against a second group created after a disk loss, and against the loss of acknowledged changes when
// a second replica is lost right after the repair of the first.
t.test("second replica lost right after a repair", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 5 }, programs);
  t.teardown(() => fleet.stop());
  const writer = new Writer(fleet, "repair");
  await writer.waitForMore(20);
  const leader = await fleet.waitForLeader("config");
  const [first = 0, second = 0] = [0, 1, 2, 3, 4].filter((index) => index !== leader);
  const address = fleet.addresses[first] ?? "";
  const before = await fleet.getStatus(first);
  const oldId = before?.find(({ name }) => name === "config")?.replicaId ?? "";
  await fleet.kill(first);
  fleet.eraseData(first);
  fleet.spawn(first);
  const change = (body: object): Promise<true> =>
    fleet.waitFor("membership change", async () => {
      const answer = await fleet.callApi(leader, "POST", "/v1/members", { group: "config", ...body });
      return answer.status === 200 ? true : null;
    });
  const status = await fleet.waitFor("the new replica", () => fleet.getStatus(first));
  const replicaId = status.find(({ name }) => name === "config")?.replicaId ?? "";
  t.not(replicaId, oldId);
  await change({ action: "add_learner", address });
  await change({ action: "promote", replicaId });
  await change({ action: "remove", replicaId: oldId });
  await fleet.kill(second);
  fleet.eraseData(second);
  await writer.waitForMore(20);
  await writer.stop();
  await checkNothingLost(t, fleet, writer);
  const repaired = await fleet.getStatus(first);
  const voters = repaired?.find(({ name }) => name === "config")?.membership.voters ?? {};
  t.equal(Object.keys(voters).length, 5);
  t.ok(replicaId in voters && !(oldId in voters));
});

// Guards against a replica that creates a second, empty group after losing its disk while the others are
// down.
t.test("replica without its disk creates no second group", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  const writer = new Writer(fleet, "lost");
  await writer.waitForMore(10);
  await writer.stop();
  for (const index of [0, 1, 2]) {
    await fleet.kill(index);
  }
  fleet.eraseData(0);
  fleet.spawn(0);
  fleet.spawn(1);
  await fleet.waitFor("restarted replica", () => fleet.getStatus(0));
  // Long enough for several bootstrap rounds and an election timeout.
  await delay(3000);
  const status = await fleet.getStatus(0);
  t.same(
    status?.map(({ commitIndex, membership }) => [commitIndex, Object.keys(membership.voters).length]),
    [
      [0, 0],
      [0, 0],
    ],
  );
  t.equal(await fleet.findLeader("config"), null);
  fleet.spawn(2);
  const leader = await fleet.waitForLeader("config");
  t.not(leader, 0);
  await checkNothingLost(t, fleet, writer);
});

// Guards against two changes accepted on the same base revision, and against a retry that reverts the other's
// change.
t.test("two operators race and both retry", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 3 }, programs);
  t.teardown(() => fleet.stop());
  for (let round = 0; round < 5; round += 1) {
    const send = async (author: string, index: number): Promise<ProposeResponse> => {
      const request = createRequest(`${author}-${round}`, round, author);
      const path = "/v1/changes";
      const { body } = await fleet.callApi(index, "POST", path, request, 15_000, `token-${author}`);
      return body as ProposeResponse;
    };
    const race = (): Promise<ProposeResponse[]> => Promise.all([send("ann", 1), send("bob", 2)]);
    const first = await race();
    if (round === 2) {
      await fleet.kill(await fleet.waitForLeader("config"));
    }
    const resent =
      round === 2
        ? await Promise.all([resend(fleet, "ann", round), resend(fleet, "bob", round)])
        : await race();
    t.same(resent, first);
    t.same(first.map(({ outcome }) => outcome).sort(), [ProposeOutcome.Accepted, ProposeOutcome.Conflict]);
    const winner = first[0]?.outcome === ProposeOutcome.Accepted ? "ann" : "bob";
    t.equal(first.find(({ outcome }) => outcome === ProposeOutcome.Conflict)?.winnerAuthor, winner);
  }
});

async function resend(fleet: ControlFleet, author: string, round: number): Promise<unknown> {
  const client = fleet.createClient();
  const answer = await client.propose(createRequest(`${author}-${round}`, round, author), 15_000);
  client.close();
  return answer.extract();
}

// Guards against an API that serves requests without a token, or lets one author act as another.
t.test("API needs a token of the author", async (t) => {
  const fleet = await ControlFleet.start({ replicas: 1 }, programs);
  t.teardown(() => fleet.stop());
  const request = createRequest("t1", 0);
  t.equal((await fleet.callApi(0, "POST", "/v1/changes", request, 5000, "wrong")).status, 401);
  t.equal((await fleet.callApi(0, "POST", "/v1/changes", request, 5000, "token-bob")).status, 403);
  t.equal((await fleet.callApi(0, "POST", "/v1/changes", { ...request, extra: 1 })).status, 400);
  t.match(await fleet.callApi(0, "POST", "/v1/changes?wait=inForce", request), {
    status: 200,
    body: { outcome: ProposeOutcome.Accepted, revision: 1, inForce: true },
  });
});

// Guards against replicas that accept frames from a peer without a certificate, or cannot connect with one.
t.test("replicas elect a leader over mutual TLS and reject plain frames", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-tls-"));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  const { private: key, cert } = await generate([{ name: "commonName", value: "control" }]);
  const [keyFile, certFile] = [join(folder, "key.pem"), join(folder, "cert.pem")];
  writeFileSync(keyFile, key);
  writeFileSync(certFile, cert);
  const settings = { tls: { keyFile, certFile, caFile: certFile } };
  const fleet = await ControlFleet.start({ replicas: 3, settings }, programs);
  t.teardown(() => fleet.stop());
  const answer = await fleet.callApi(0, "POST", "/v1/changes", createRequest("t1", 0));
  t.match(answer, { status: 200, body: { outcome: ProposeOutcome.Accepted } });
  const client = fleet.createClient();
  t.equal((await client.propose(createRequest("t2", 1), 500)).isLeft(), true);
  client.close();
});
