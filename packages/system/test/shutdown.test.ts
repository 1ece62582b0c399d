import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { runLightLoad } from "./helpers/runLightLoad";

// Reached only when a test hangs.
t.setTimeout(200_000);

async function getAddresses(url: string): Promise<readonly string[]> {
  const response = await fetch(`${url}/v1/addresses`);
  return ((await response.json()) as { addresses: readonly string[] }).addresses;
}

// Guards against a shutdown of an entry that aborts requests, or an address list that still includes it.
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
  // Callers use an address until the TTL of their list expires; the last streams are still in flight then.
  const load = runLightLoad(url, 4000, 100);
  await delay(2000);
  const entry = fleet.get("entry-1");
  entry.signal("SIGTERM");
  await waitUntil("address list without the entry", async () =>
    (await getAddresses(otherUrl)).includes(url) ? null : true,
  );
  const report = await load;
  t.comment(JSON.stringify(report));
  t.match(report, { wrongCount: 0, wholeCount: report.sentCount, failures: {} });
  t.same(await entry.waitForExit(), { code: 0, signal: null });
});

// Guards against a shutdown of an agent that aborts requests in flight.
t.test("agent leaves under load", async (t) => {
  const fleet = await SystemFleet.start({ entryCount: 1 });
  t.teardown(() => fleet.stop());
  const load = runLightLoad(fleet.entryUrls[0] ?? "", 5000, 100);
  await delay(2000);
  const agent = fleet.get("agent-runner-1");
  agent.signal("SIGTERM");
  t.same(await agent.waitForExit(), { code: 0, signal: null });
  const report = await load;
  t.comment(JSON.stringify(report));
  t.match(report, { wrongCount: 0, wholeCount: report.sentCount, failures: {} });
});
