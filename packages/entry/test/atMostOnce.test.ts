import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { request as requestHttp } from "undici";
import { ClaimGuard } from "@clementinemux/entry/ClaimGuard";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import { InMemoryClaimClient } from "./InMemoryClaimClient";
import { startFleet } from "./startFleet";

interface Reply {
  readonly status: number;
  readonly recorded: boolean;
  readonly body: { readonly reason?: string; readonly outcome?: string; readonly execution?: number };
}

async function order(url: string, body: string, headers: Record<string, string> = {}): Promise<Reply> {
  const reply = await requestHttp(`${url}/services/orders/place`, { method: "POST", headers, body });
  return {
    status: reply.statusCode,
    recorded: reply.headers["clementinemux-recorded"] === "true",
    body: (await reply.body.json()) as Reply["body"],
  };
}

const once = (key: string): Record<string, string> => ({
  "idempotency-key": key,
  "idempotency-mode": "once",
});

// Guards against a second execution when a caller retries through another entry.
t.test("request sent twice through two entries runs once", async (t) => {
  const fleet = await startFleet({ entryCount: 2, serviceCount: 2, executionMs: 100 });
  const replies = await Promise.all(fleet.urls.map((url) => order(url, "lot 1", once("k1"))));
  const executionCounts = fleet.services.map(({ executions }) => executions.get("lot 1") ?? 0);
  t.equal(
    executionCounts.reduce((sum, count) => sum + count, 0),
    1,
  );
  t.same(replies.map(({ status }) => status).sort(), [200, 409]);
  t.match(
    replies.find(({ status }) => status === 409),
    { body: { reason: "claim_in_progress", outcome: "unknown" } },
  );
  const retried = await order(fleet.urls[1]!, "lot 1", once("k1"));
  t.match(retried, { status: 200, recorded: true, body: { execution: 1 } });
  await fleet.stop();
});

// Guards against a key that is accepted with another body.
t.test("key with another body is refused", async (t) => {
  const fleet = await startFleet({ serviceCount: 1 });
  await order(fleet.urls[0]!, "lot 2", once("k2"));
  t.match(await order(fleet.urls[0]!, "lot 3", once("k2")), {
    status: 422,
    body: { reason: "key_reused", outcome: "not_run" },
  });
  t.notOk(fleet.services[0]!.executions.has("lot 3"));
  await fleet.stop();
});

// Guards against a retry after the connection broke when the service had already run the call.
t.test("connection broken after the write is unknown and never retried", async (t) => {
  const fleet = await startFleet({ serviceCount: 2 });
  for (const service of fleet.services) {
    service.disconnectAfterExecution = true;
  }
  const first = await order(fleet.urls[0]!, "lot 4", once("k4"));
  t.match(first, { status: 502, body: { outcome: "unknown" } });
  const withoutKey = await order(fleet.urls[0]!, "lot 5");
  t.match(withoutKey, { status: 502, body: { outcome: "unknown" } });
  const retried = await order(fleet.urls[0]!, "lot 4", once("k4"));
  t.match(retried, { status: 409, body: { reason: "claim_outcome_unknown", outcome: "unknown" } });
  const executionCounts = fleet.services.flatMap(({ executions }) => [...executions.values()]);
  t.same(executionCounts, [1, 1]);
  await fleet.stop();
});

// Guards against a dispatch without a committed claim.
t.test("without a claim shard nothing is run", async (t) => {
  const fleet = await startFleet({ serviceCount: 1 });
  fleet.claims.available = false;
  t.match(await order(fleet.urls[0]!, "lot 6", once("k6")), {
    status: 503,
    body: { reason: "claim_unavailable", outcome: "not_run" },
  });
  t.equal(fleet.services[0]!.executions.size, 0);
  await fleet.stop();
});

// Guards against a key that stays claimed after the response to its claim was lost, so that retries are
// rejected.
t.test("retry runs after a claim whose response was lost", async (t) => {
  const fleet = await startFleet({ serviceCount: 1 });
  fleet.claims.losesClaimResponses = true;
  const lost = order(fleet.urls[0]!, "lot 14", once("k14"));
  t.match(await lost, { status: 503, body: { reason: "claim_unavailable", outcome: "not_run" } });
  fleet.claims.losesClaimResponses = false;
  let retried = await order(fleet.urls[0]!, "lot 14", once("k14"));
  for (let round = 0; retried.status !== 200 && round < 100; round += 1) {
    await delay(20);
    retried = await order(fleet.urls[0]!, "lot 14", once("k14"));
  }
  t.match(retried, { status: 200, body: { execution: 1 } });
  await fleet.stop();
});

// Guards against a lost claim whose cancellation is not retried while control does not respond.
t.test("lost claim is cancelled once control responds again", async (t) => {
  const claims = new InMemoryClaimClient();
  const waits: number[] = [];
  const wait = (ms: number): Promise<void> => {
    waits.push(ms);
    claims.available = waits.length >= 3;
    return Promise.resolve();
  };
  const claimant = { entry: "entry-1", incarnation: "1" };
  const request = { team: "t", key: "k", bodyDigest: "d", claimant, requestId: "r1", createdAtMs: null };
  claims.losesClaimResponses = true;
  const lost = new ClaimGuard(claims, request, { random: () => 0.5, wait }).claim();
  claims.available = false;
  t.equal(await lost, null);
  while (waits.length < 3) {
    await delay(1);
  }
  await delay(5);
  t.same(waits, [200, 400, 800]);
  claims.losesClaimResponses = false;
  t.match(await claims.claim({ ...request, requestId: "r2" }), { state: ClaimState.Granted, attempt: 2 });
});

// Guards against a lost response when the caller disconnects while the service runs its call.
t.test("response is recorded although the caller has disconnected", async (t) => {
  const fleet = await startFleet({ serviceCount: 1, executionMs: 150 });
  const leaving = requestHttp(`${fleet.urls[0]!}/services/orders/place`, {
    method: "POST",
    headers: once("k7"),
    body: "lot 7",
    signal: AbortSignal.timeout(80),
  });
  await t.rejects(leaving);
  await delay(200);
  t.match(await order(fleet.urls[0]!, "lot 7", once("k7")), { recorded: true, body: { execution: 1 } });
  t.equal(fleet.services[0]!.executions.get("lot 7"), 1);
  await fleet.stop();
});

// Guards against calling a target after the caller's deadline.
t.test("passed deadline is checked before the write", async (t) => {
  const fleet = await startFleet({ serviceCount: 1 });
  const headers = { ...once("k8"), "clementinemux-deadline-ms": "0" };
  const reply = await order(fleet.urls[0]!, "lot 8", headers);
  t.match(reply, { status: 504, body: { reason: "deadline_passed", outcome: "not_run" } });
  t.equal(fleet.services[0]!.executions.size, 0);
  await fleet.stop();
});

// Guards against `not_run` when the cancellation of the claim is not known to be committed.
t.test("lost cancellation is unknown", async (t) => {
  const fleet = await startFleet({ serviceCount: 1 });
  fleet.claims.losesCancelResponses = true;
  const headers = { ...once("k9"), "clementinemux-deadline-ms": "0" };
  t.equal((await order(fleet.urls[0]!, "lot 9", headers)).body.outcome, "unknown");
  const noTarget = await requestHttp(`${fleet.urls[0]!}/services/none/`, { headers: once("k11") });
  t.match(await noTarget.body.json(), { reason: "no_target", outcome: "unknown" });
  t.equal(fleet.services[0]!.executions.size, 0);
  await fleet.stop();
});

// Guards against a second dispatch under the same claim, and against abandoning a call that has not run.
t.test("refusal by the agent: cancelled, claimed again, run once", async (t) => {
  const fleet = await startFleet({ serviceCount: 2 });
  fleet.services[0]!.agentRefusals = 1;
  // The entry chooses randomly among equal services, so calls are repeated until one is rejected.
  for (let call = 0; fleet.services[0]!.agentRefusals > 0 && call < 50; call += 1) {
    const reply = await order(fleet.urls[0]!, `lot 12-${call}`, once(`k12-${call}`));
    t.match(reply, { status: 200, body: { execution: 1 } });
  }
  t.equal(fleet.services[0]!.agentRefusals, 0);
  t.equal(fleet.claims.cancelCount, 1);
  for (const service of fleet.services) {
    service.agentRefusals = 10;
  }
  t.match(await order(fleet.urls[0]!, "lot 13", once("k13")), { body: { outcome: "not_run" } });
  for (const service of fleet.services) {
    service.agentRefusals = 0;
  }
  t.match(await order(fleet.urls[0]!, "lot 13", once("k13")), { status: 200, body: { execution: 1 } });
  await fleet.stop();
});

// Guards against a service call that blocks forever, and against its retry.
t.test("service without a response is unknown after its timeout", async (t) => {
  const services = { orders: { repeatable: false, timeoutMs: 100, keyRequired: false } };
  const fleet = await startFleet({ serviceCount: 1, defaults: { services } });
  fleet.services[0]!.frozen = true;
  t.match(await order(fleet.urls[0]!, "lot 10", once("k10")), { status: 502, body: { outcome: "unknown" } });
  t.equal(fleet.services[0]!.executions.get("lot 10"), 1);
  await fleet.stop();
});

// Guards against a call that runs twice because a retry without a key cannot be recognised.
t.test("service that requires a key rejects a body without one", async (t) => {
  const orders = { repeatable: false, timeoutMs: 1000, keyRequired: true };
  const fleet = await startFleet({ serviceCount: 1, defaults: { services: { orders } } });
  const refused = await order(fleet.urls[0]!, "lot 15");
  t.match(refused, { status: 400, body: { reason: "bad_request", outcome: "not_run" } });
  t.notOk(fleet.services[0]!.executions.has("lot 15"));
  t.match(await order(fleet.urls[0]!, "lot 15", { "idempotency-key": "k15" }), { status: 200 });
  t.match(await order(fleet.urls[0]!, ""), { status: 200 });
  await fleet.stop();
  const free = await startFleet({
    serviceCount: 1,
    defaults: { services: { orders: { ...orders, repeatable: true } } },
  });
  t.match(await order(free.urls[0]!, "lot 16"), { status: 200 });
  await free.stop();
});
