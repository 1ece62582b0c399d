import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { request as requestHttp } from "undici";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { startFleet } from "./startFleet";

const deadly = "deadly lot";
const { defaults } = createDefaultConfig();
const services = { orders: { repeatable: true, timeoutMs: 2000, keyRequired: false } };

async function order(url: string, body: string) {
  const reply = await requestHttp(`${url}/services/orders/place`, { method: "POST", body });
  const { reason = "" } = (await reply.body.json()) as { reason?: string };
  return { status: reply.statusCode, retryAfterS: Number(reply.headers["retry-after"] ?? 0), reason };
}

async function start(repeatable: boolean, hasAgent = false) {
  const orders = { ...services.orders, repeatable };
  const fleet = await startFleet({
    ...{ entryCount: 2, serviceCount: 5, defaults: { ...defaults, services: { orders } } },
  });
  fleet.services.forEach((service) => {
    service.deadlyBody = deadly;
    service.hasAgent = hasAgent;
  });
  const countCrashes = (): number => fleet.services.filter(({ executions }) => executions.has(deadly)).length;
  return { fleet, countCrashes };
}

// Guards against a call that crashes each target of its service, by the entry's retries and the caller's own at another entry.
t.test("a call that crashes its targets is refused at all entries after two crashes", async (t) => {
  const { fleet, countCrashes } = await start(true);
  const [first = "", second = ""] = fleet.urls;
  t.match(await order(first, deadly), { status: 502, reason: "targets_failed" }, "it has run");
  t.equal(countCrashes(), 2, "it is not sent to a third target");
  await delay(1200);
  for (const url of [first, second, second]) {
    const { status, reason, retryAfterS } = await order(url, deadly);
    t.same({ status, reason }, { status: 503, reason: "suspect_request" });
    t.ok(retryAfterS > 30);
  }
  t.equal(countCrashes(), 2);
  t.equal((await order(second, "sound lot")).status, 200);
  await fleet.stop();
});

// Guards against a call that may run once and crashes one target after the other as its caller comes again.
t.test("a call that is not repeatable crashes one target an attempt, and two at most", async (t) => {
  const { fleet, countCrashes } = await start(false);
  const [first = "", second = ""] = fleet.urls;
  t.not((await order(first, deadly)).status, 200);
  t.equal(countCrashes(), 1);
  t.not((await order(second, deadly)).status, 200);
  t.equal(countCrashes(), 2);
  await delay(1200);
  t.match(await order(first, deadly), { status: 503, reason: "suspect_request" });
  t.equal(countCrashes(), 2);
  await fleet.stop();
});

// Guards against a crash that counts as an answer, since the agent before the target goes on and answers in its place.
t.test("crashes behind an agent count as crashes", async (t) => {
  const { fleet, countCrashes } = await start(true, true);
  const [first = ""] = fleet.urls;
  t.match(await order(first, deadly), { status: 502, reason: "targets_failed" });
  t.equal(countCrashes(), 2);
  t.match(await order(first, deadly), { status: 503, reason: "suspect_request" });
  t.equal(countCrashes(), 2);
  await fleet.stop();
});
