import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { RelayProxies } from "./helpers/RelayProxies";
import { runLightLoad } from "./helpers/runLightLoad";

// Reached only when a test hangs.
t.setTimeout(200_000);

const maxEffectDelayMs = 5000;
const pollIntervalMs = 50;
const observationMs = 7500;
const drain = { reason: "fan replaced", author: "ann", sinceMs: 1 };
const change = { kind: ConfigChangeKind.DrainTarget as const, target: "runner-1", drain };

async function countStarted(fleet: SystemFleet): Promise<number> {
  const counts = await (await fetch(`${fleet.engineUrls[0] ?? ""}/standin/counts`)).json();
  return (counts as { started: number }).started;
}

/** Time from the accepted change to the last observed start of a request on the drained target; 0 if none. */
async function measureLastStart(fleet: SystemFleet): Promise<number> {
  const acceptedAtMs = performance.now();
  let count = await countStarted(fleet);
  let lastMs = 0;
  while (performance.now() - acceptedAtMs < observationMs) {
    await delay(pollIntervalMs);
    const next = await countStarted(fleet);
    lastMs = next > count ? performance.now() - acceptedAtMs : lastMs;
    count = next;
  }
  return lastMs;
}

async function checkDrain(t: Test, isolated: string | null, url = 0): Promise<SystemFleet> {
  const proxies = new RelayProxies(isolated === null ? [] : [isolated]);
  t.teardown(() => proxies.close());
  const fleet = await SystemFleet.start({ mapRelays: proxies.mapRelays });
  t.teardown(() => fleet.stop());
  const load = runLightLoad(fleet.entryUrls[url] ?? "", observationMs + 4000, 5, 20);
  const before = await countStarted(fleet);
  await waitUntil("load on the target", async () => ((await countStarted(fleet)) > before + 3 ? true : null));
  if (isolated !== null) {
    proxies.blackhole(isolated);
  }
  t.equal((await fleet.propose(change)).outcome, "accepted");
  const lastStartMs = await measureLastStart(fleet);
  t.comment(`last start ${Math.round(lastStartMs)} ms after the accepted change`);
  // A drain applies within 5 s; polling detects a start up to one interval later.
  t.ok(lastStartMs <= maxEffectDelayMs + 2 * pollIntervalMs, `last start after ${lastStartMs} ms`);
  const report = await load;
  t.equal(report.wrongCount, 0);
  return fleet;
}

// Guards against a drained target that starts requests later than 5 s after the drain, or after a restart.
t.test("drained target starts no requests, also when restarted", async (t) => {
  const fleet = await checkDrain(t, null);
  const agent = fleet.get("agent-runner-1");
  await agent.kill();
  agent.start();
  const address = fleet.agentAddresses[0] ?? "";
  const state = await waitUntil("state of the restarted agent", async () => {
    const body = (await (await fetch(`http://${address}/agent/state`)).json()) as { reason: string };
    return body.reason === "lease_expired" ? null : body;
  });
  t.match(state, { accepting: false, reason: "target_drained" });
  const before = await countStarted(fleet);
  const report = await runLightLoad(fleet.entryUrls[0] ?? "", 2000, 5, 20);
  t.equal(report.wholeCount, report.sentCount);
  t.equal(await countStarted(fleet), before);
});

// Guards against an agent that continues to accept requests because the drain cannot reach it.
t.test("drain applies to an agent isolated from control", async (t) => {
  await checkDrain(t, "agent-runner-1");
});

// Guards against an entry with a stale view that continues to use a drained target.
t.test("drain applies to an entry isolated from control", async (t) => {
  await checkDrain(t, "entry-1");
});
