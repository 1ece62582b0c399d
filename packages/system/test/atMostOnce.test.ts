import { readFileSync, writeFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { DelayProxy } from "@clementinemux/bench/control/DelayProxy";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { callService } from "./helpers/callService";

// Reached only when a test hangs.
t.setTimeout(200_000);

type ServiceResult = Awaited<ReturnType<typeof callService>>;

async function getExecutions(fleet: SystemFleet): Promise<Record<string, number>> {
  return (await (await fetch(`${fleet.serviceUrl}/standin/executions`)).json()) as Record<string, number>;
}

/** Highest commit index of the claims log on any replica. */
async function getClaimCommit(fleet: SystemFleet): Promise<number> {
  const statuses = await Promise.all([0, 1, 2].map((index) => fleet.callApi(index, "GET", "/v1/status")));
  const groups = statuses.flatMap(
    ({ body }) => (body as { groups: readonly { name: string; commitIndex: number }[] }).groups,
  );
  return Math.max(...groups.filter(({ name }) => name === "claims-0").map(({ commitIndex }) => commitIndex));
}

async function startFleet(
  t: Test,
  options: Parameters<typeof SystemFleet.start>[0] = {},
): Promise<SystemFleet> {
  const fleet = await SystemFleet.start({ engineCount: 0, hasService: true, ...options });
  t.teardown(() => fleet.stop());
  for (const [index, url] of fleet.entryUrls.entries()) {
    await waitUntil("service through the entry", async () =>
      (await callService(url, `ready-${index}`)).status === 200 ? true : null,
    );
  }
  return fleet;
}

// Guards against two entries that both dispatch a request with the same key.
t.test("same key through two entries at once", async (t) => {
  const fleet = await startFleet(t, { executionMs: 100 });
  for (let round = 0; round < 10; round += 1) {
    const results = await Promise.all(fleet.entryUrls.map((url) => callService(url, `both-${round}`)));
    t.equal(results.filter(({ status, isRecorded }) => status === 200 && !isRecorded).length, 1);
    t.equal((await getExecutions(fleet))[`both-${round}`], 1);
    const again = await callService(fleet.entryUrls[round % 2] ?? "", `both-${round}`);
    t.match(again, { status: 200, isRecorded: true });
  }
});

// Guards against a retry that runs a request again after the entry that dispatched it was killed.
t.test("entry killed after dispatch", async (t) => {
  const fleet = await startFleet(t, { executionMs: 1000 });
  const first = callService(fleet.entryUrls[0] ?? "", "killed");
  await waitUntil("execution", async () => (await getExecutions(fleet)).killed ?? null);
  await fleet.get("entry-1").kill();
  t.equal((await first).outcome, "cut");
  // The retries continue until well after the lease of the killed entry has expired.
  const endMs = performance.now() + 6000;
  while (performance.now() < endMs) {
    t.match(await callService(fleet.entryUrls[1] ?? "", "killed"), { outcome: "unknown" });
    await delay(1000);
  }
  t.equal((await getExecutions(fleet)).killed, 1);
});

// Guards against a claim that is granted twice, or granted but reported as not run, when the leader is
// killed.
t.test("control leader killed during claims", async (t) => {
  const fleet = await startFleet(t);
  const keys = Array.from({ length: 40 }, (_, index) => `leader-${index}`);
  const leader = await fleet.findLeader("claims-0");
  const firstCalls: Promise<ServiceResult>[] = [];
  for (const [index, key] of keys.entries()) {
    firstCalls.push(callService(fleet.entryUrls[index % 2] ?? "", key));
    if (index === 20) {
      fleet.get(`control-${leader + 1}`).signal("SIGKILL");
    }
    await delay(2);
  }
  const results = await Promise.all(firstCalls);
  const before = await getExecutions(fleet);
  const wrong = keys.filter((key, index) => results[index]?.outcome === "not_run" && key in before);
  t.same(wrong, [], "no key reported as not_run has run");
  const outcomes = results.map(({ status, outcome }) => (status === 200 ? "answered" : outcome));
  t.comment(JSON.stringify(outcomes.reduce<Record<string, number>>(count, {})));
  await fleet.findLeader("claims-0");
  // A retry through the other entry runs the requests that have not run, and none twice.
  await Promise.all(
    keys.map((key, index) =>
      waitUntil("definite response", async () => {
        const { status, reason } = await callService(fleet.entryUrls[(index + 1) % 2] ?? "", key);
        return status === 200 || reason === "claim_in_progress" || reason === "claim_outcome_unknown"
          ? true
          : null;
      }),
    ),
  );
  const executions = await getExecutions(fleet);
  t.same(
    keys.filter((key) => (executions[key] ?? 0) > 1),
    [],
  );
});

function count(counts: Record<string, number>, name: string): Record<string, number> {
  return { ...counts, [name]: (counts[name] ?? 0) + 1 };
}

// Guards against an entry that dispatches after a suspension with an expired permit or a cancelled claim.
t.test("entry stopped between claim and dispatch", async (t) => {
  const delayMs = 300;
  const fleet = await startFleet(t, { entry: { claimTimeoutMs: 20_000 } });
  const leader = await fleet.findLeader("claims-0");
  const proxy = new DelayProxy(Number(fleet.relays[leader]?.split(":")[1]), delayMs);
  const [proxyPort = 0] = await findFreePorts(1);
  await proxy.listen(proxyPort);
  t.teardown(() => {
    proxy.close();
  });
  // The entry only knows the proxy: another replica would redirect it to the leader's own address, without
  // delay.
  const entry = fleet.get("entry-1");
  await entry.kill();
  const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as object;
  writeFileSync(entry.settingsFile, JSON.stringify({ ...settings, control: [`127.0.0.1:${proxyPort}`] }));
  entry.start();
  await waitUntil("service through the restarted entry", async () =>
    (await callService(fleet.entryUrls[0] ?? "", "ready-again")).status === 200 ? true : null,
  );
  const [url = "", otherUrl = ""] = fleet.entryUrls;
  // By then, the results of the readiness requests are committed.
  await delay(delayMs * 4);
  const before = await getClaimCommit(fleet);
  const first = callService(url, "stopped");
  // The proxy delays the response to the committed claim, so that the entry has not received it yet.
  await waitUntil("committed claim", async () => ((await getClaimCommit(fleet)) > before ? true : null));
  entry.signal("SIGSTOP");
  t.match(await callService(otherUrl, "stopped"), { reason: "claim_in_progress" });
  t.equal((await getExecutions(fleet)).stopped, undefined);
  // Longer than the age above which the agent rejects a permit.
  await delay(4000);
  entry.signal("SIGCONT");
  const result = await first;
  t.comment(`${result.status} ${result.outcome} ${result.reason}`);
  const executions = (await getExecutions(fleet)).stopped ?? 0;
  t.ok(executions <= 1);
  t.notOk(result.outcome === "not_run" && executions > 0, "a request reported as not_run has not run");
});
