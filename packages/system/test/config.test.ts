import t from "tap";
import { request as requestHttp } from "undici";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { RelayProxies } from "./helpers/RelayProxies";
import { runLightLoad } from "./helpers/runLightLoad";

// Reached only when a test hangs.
t.setTimeout(200_000);

const maxEffectDelayMs = 5000;
const pollIntervalMs = 50;
let changeCount = 0;

function createChange(): ConfigChange {
  changeCount += 1;
  const drain = { reason: "test", author: "ann", sinceMs: 1 };
  return { kind: ConfigChangeKind.DrainTarget, target: `absent-${changeCount}`, drain };
}

/** Revision that an entry applies to a new request, or the problem response when it rejects the request. */
async function probe(url: string): Promise<{ revision: number; problem: Record<string, unknown> | null }> {
  const response = await requestHttp(`${url}/v1/completions`, {
    method: "POST",
    body: JSON.stringify({ model: "demo", prompt: "p", max_tokens: 1, stream: true }),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    return { revision: -1, problem: JSON.parse(text) as Record<string, unknown> };
  }
  const id = String(response.headers["clementinemux-request"]);
  const explanation = await (await requestHttp(`${url}/v1/explain/${id}`)).body.json();
  return { revision: (explanation as { revision: number }).revision, problem: null };
}

// Guards against a change that is lost or applied too late because the leader was killed while it was
// proposed.
t.test("leader killed right after a proposal", async (t) => {
  const fleet = await SystemFleet.start({ engineCount: 1 });
  t.teardown(() => fleet.stop());
  const leader = await fleet.findLeader("config");
  const others = [0, 1, 2].filter((index) => index !== leader);
  const proposed = fleet.propose(createChange(), false, others);
  setTimeout(() => {
    fleet.get(`control-${leader + 1}`).signal("SIGKILL");
  }, 5);
  const result = await proposed;
  const acceptedAtMs = performance.now();
  t.equal(result.outcome, "accepted");
  const times = await Promise.all(
    fleet.entryUrls.map((url) =>
      waitUntil("active revision", async () => {
        const { revision, problem } = await probe(url);
        // An entry that rejects new requests does not apply an older revision either.
        const isActive = problem === null ? revision >= result.revision : problem.outcome === "not_run";
        return isActive ? performance.now() - acceptedAtMs : null;
      }),
    ),
  );
  t.comment(`active on the entries after ${times.map(Math.round).join(" and ")} ms`);
  t.ok(Math.max(...times) <= maxEffectDelayMs + pollIntervalMs, `active after ${times.join(", ")} ms`);
  const config = await waitUntil("config", () => fleet.getConfig(others[0]));
  t.ok(config.revision >= result.revision);
});

// Guards against an entry that serves without control, aborts streams when it loses control, or later serves
// an older revision.
t.test("entry isolated from control rejects, then catches up", async (t) => {
  const proxies = new RelayProxies(["entry-1"]);
  t.teardown(() => proxies.close());
  const fleet = await SystemFleet.start({ engineCount: 1, mapRelays: proxies.mapRelays });
  t.teardown(() => fleet.stop());
  const [url = "", otherUrl = ""] = fleet.entryUrls;
  await waitUntil("both entries in the address list", async () => {
    const body = (await (await requestHttp(`${url}/v1/addresses`)).body.json()) as { addresses: string[] };
    return body.addresses.includes(otherUrl) ? true : null;
  });
  // About 8 s of tokens, which is longer than the serving lease.
  const stream = runLightLoad(url, 1, 400);
  await waitUntil("request in flight", async () => {
    const counts = await (await fetch(`${fleet.engineUrls[0] ?? ""}/standin/counts`)).json();
    return (counts as { tokens: number }).tokens > 20 ? true : null;
  });
  proxies.blackhole("entry-1");
  const result = await fleet.propose(createChange());
  // Before its serving lease expires, the entry may reject for a team limit, whose leased share it cannot
  // renew.
  const refusals: Record<string, unknown>[] = [];
  const problem = await waitUntil("refusal for lost control", async () => {
    const { problem: refusal } = await probe(url);
    refusals.push(...(refusal === null ? [] : [refusal]));
    return refusal?.reason === "control_lost" ? refusal : null;
  });
  t.ok(
    refusals.every(({ outcome }) => outcome === "not_run"),
    "every refusal has outcome not_run",
  );
  t.ok((problem.addresses as string[]).includes(otherUrl), "lists the other entry");
  t.match(await stream, { sentCount: 1, wholeCount: 1, wrongCount: 0 });
  proxies.heal("entry-1");
  const first = await waitUntil("first served request", async () => {
    const { revision, problem } = await probe(url);
    return problem === null ? revision : null;
  });
  t.ok(first >= result.revision, `serves revision ${first}`);
});

// Guards against a restarted entry that starts with an older configuration.
t.test("restarted entry serves no older revision", async (t) => {
  const fleet = await SystemFleet.start({ engineCount: 1 });
  t.teardown(() => fleet.stop());
  const result = await fleet.propose(createChange(), true);
  t.equal(result.inForce, true);
  const entry = fleet.get("entry-1");
  for (let round = 0; round < 2; round += 1) {
    await entry.kill();
    entry.start();
    const first = await waitUntil("first served request", async () => {
      const { revision, problem } = await probe(fleet.entryUrls[0] ?? "");
      return problem === null ? revision : null;
    });
    t.ok(first >= result.revision, `serves revision ${first}`);
  }
});
