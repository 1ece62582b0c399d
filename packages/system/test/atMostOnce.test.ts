import { readFileSync, writeFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { DelayProxy } from "@clementinemux/bench/control/DelayProxy";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { askService } from "./helpers/askService";

// Only a hang reaches this.
t.setTimeout(200_000);

type Answer = Awaited<ReturnType<typeof askService>>;

async function getExecutions(fleet: SystemFleet): Promise<Record<string, number>> {
  return (await (await fetch(`${fleet.serviceUrl}/standin/executions`)).json()) as Record<string, number>;
}

/** Highest committed index of the claims log at any replica. */
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
      (await askService(url, `ready-${index}`)).status === 200 ? true : null,
    );
  }
  return fleet;
}

// Guards against two entries that both dispatch the same key.
t.test("same key through two entries at once", async (t) => {
  const fleet = await startFleet(t, { executionMs: 100 });
  for (let round = 0; round < 10; round += 1) {
    const answers = await Promise.all(fleet.entryUrls.map((url) => askService(url, `both-${round}`)));
    t.equal(answers.filter(({ status, isRecorded }) => status === 200 && !isRecorded).length, 1);
    t.equal((await getExecutions(fleet))[`both-${round}`], 1);
    const again = await askService(fleet.entryUrls[round % 2] ?? "", `both-${round}`);
    t.match(again, { status: 200, isRecorded: true });
  }
});

// Guards against a resend that runs a request again after the entry that had dispatched it died.
t.test("entry killed after dispatch", async (t) => {
  const fleet = await startFleet(t, { executionMs: 1000 });
  const first = askService(fleet.entryUrls[0] ?? "", "killed");
  await waitUntil("execution", async () => (await getExecutions(fleet)).killed ?? null);
  await fleet.get("entry-1").kill();
  t.equal((await first).outcome, "cut");
  // The resends go on until well after the lease of the killed entry has ended.
  const endMs = performance.now() + 6000;
  while (performance.now() < endMs) {
    t.match(await askService(fleet.entryUrls[1] ?? "", "killed"), { outcome: "unknown" });
    await delay(1000);
  }
  t.equal((await getExecutions(fleet)).killed, 1);
});

// Guards against a claim that is granted twice, or refused as not run but granted, when the leader dies.
t.test("control leader killed during claims", async (t) => {
  const fleet = await startFleet(t);
  const keys = Array.from({ length: 40 }, (_, index) => `leader-${index}`);
  const leader = await fleet.findLeader("claims-0");
  const firsts: Promise<Answer>[] = [];
  for (const [index, key] of keys.entries()) {
    firsts.push(askService(fleet.entryUrls[index % 2] ?? "", key));
    if (index === 20) {
      fleet.get(`control-${leader + 1}`).signal("SIGKILL");
    }
    await delay(2);
  }
  const answers = await Promise.all(firsts);
  const before = await getExecutions(fleet);
  const wrong = keys.filter((key, index) => answers[index]?.outcome === "not_run" && key in before);
  t.same(wrong, [], "no key that was answered not_run has run");
  const outcomes = answers.map(({ status, outcome }) => (status === 200 ? "answered" : outcome));
  t.comment(JSON.stringify(outcomes.reduce<Record<string, number>>(count, {})));
  await fleet.findLeader("claims-0");
  // A resend through the other entry runs what has not run, and nothing twice.
  await Promise.all(
    keys.map((key, index) =>
      waitUntil("definite answer", async () => {
        const { status, reason } = await askService(fleet.entryUrls[(index + 1) % 2] ?? "", key);
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

// Guards against an entry that dispatches after a freeze, although its permit has aged or its claim was given up.
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
  // A replica that is not the leader would name the leader's own address, which is not delayed.
  const entry = fleet.get("entry-1");
  await entry.kill();
  const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as object;
  writeFileSync(entry.settingsFile, JSON.stringify({ ...settings, control: [`127.0.0.1:${proxyPort}`] }));
  entry.start();
  await waitUntil("service through the restarted entry", async () =>
    (await askService(fleet.entryUrls[0] ?? "", "ready-again")).status === 200 ? true : null,
  );
  const [url = "", otherUrl = ""] = fleet.entryUrls;
  // The records of the readiness requests are committed by then.
  await delay(delayMs * 4);
  const before = await getClaimCommit(fleet);
  const first = askService(url, "stopped");
  // The answer to the committed claim is still on its way to the entry, for one delay.
  await waitUntil("committed claim", async () => ((await getClaimCommit(fleet)) > before ? true : null));
  entry.signal("SIGSTOP");
  t.match(await askService(otherUrl, "stopped"), { reason: "claim_in_progress" });
  t.equal((await getExecutions(fleet)).stopped, undefined);
  // Longer than the age at which the agent refuses a permit.
  await delay(4000);
  entry.signal("SIGCONT");
  const answer = await first;
  t.comment(`${answer.status} ${answer.outcome} ${answer.reason}`);
  const executions = (await getExecutions(fleet)).stopped ?? 0;
  t.ok(executions <= 1);
  t.notOk(answer.outcome === "not_run" && executions > 0, "a request told not_run has not run");
});
