import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { runLight } from "./helpers/runLight";

// Only a hang reaches this.
t.setTimeout(200_000);

async function getAddresses(url: string): Promise<readonly string[]> {
  const answer = await fetch(`${url}/v1/addresses`);
  return ((await answer.json()) as { addresses: readonly string[] }).addresses;
}

// Guards against a shutdown of an entry that cuts requests, or an address list that still sends callers to it.
t.test("entry leaves under load", async (t) => {
  const fleet = await SystemFleet.start({ entry: { addressSettleMs: 2000 } });
  t.teardown(() => fleet.stop());
  const [url = "", otherUrl = ""] = fleet.entryUrls;
  const { defaults } = await fleet.getConfig();
  const change = {
    kind: ConfigChangeKind.SetDefaults as const,
    defaults: { ...defaults, addressTtlMs: 3000 },
  };
  t.equal((await fleet.propose(change, true)).inForce, true);
  await waitUntil("both addresses", async () => ((await getAddresses(otherUrl)).includes(url) ? true : null));
  // Callers go on with an address for as long as their answer is valid; the last streams are in flight then.
  const load = runLight(url, 4000, 100);
  await delay(2000);
  const entry = fleet.get("entry-1");
  entry.signal("SIGTERM");
  await waitUntil("address list without it", async () =>
    (await getAddresses(otherUrl)).includes(url) ? null : true,
  );
  const report = await load;
  t.comment(JSON.stringify(report));
  t.match(report, { wrongCount: 0, wholeCount: report.sentCount, failures: {} });
  t.same(await entry.waitForExit(), { code: 0, signal: null });
});

// Guards against a shutdown of an agent that cuts the requests in flight.
t.test("agent leaves under load", async (t) => {
  const fleet = await SystemFleet.start({ entryCount: 1 });
  t.teardown(() => fleet.stop());
  const load = runLight(fleet.entryUrls[0] ?? "", 5000, 100);
  await delay(2000);
  const agent = fleet.get("agent-runner-1");
  agent.signal("SIGTERM");
  t.same(await agent.waitForExit(), { code: 0, signal: null });
  const report = await load;
  t.comment(JSON.stringify(report));
  t.match(report, { wrongCount: 0, wholeCount: report.sentCount, failures: {} });
});
