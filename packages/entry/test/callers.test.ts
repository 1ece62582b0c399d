import { request as requestNode } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { request as requestHttp } from "undici";
import { requestModel } from "./requestModel";
import { startFleet } from "./startFleet";

// Reached only when a test hangs.
t.setTimeout(90_000);

async function getJson(url: string): Promise<Record<string, unknown>> {
  return (await (await requestHttp(url)).body.json()) as Record<string, unknown>;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let waitedMs = 0; waitedMs < 5000 && !isTrue(); waitedMs += 10) {
    await delay(10);
  }
}

/** Opens a stream and does not read the response. */
function openStream(url: string, maxTokens: number): Promise<IncomingMessage> {
  const body = JSON.stringify({ model: "demo", prompt: "p", max_tokens: maxTokens, seed: 1, stream: true });
  return new Promise((resolve, reject) => {
    const request = requestNode(`${url}/v1/completions`, { method: "POST" }, resolve);
    request.once("error", reject);
    request.end(body);
  });
}

// Guards against an engine that keeps computing for a disconnected caller.
t.test("disconnect of the caller cancels the request at the engine", async (t) => {
  const fleet = await startFleet({ engine: { tokenIntervalMs: 5 } });
  const response = await openStream(fleet.urls[0]!, 1000);
  response.once("error", () => undefined);
  response.once("data", () => response.destroy());
  const { counts } = fleet.engines[0]!;
  await waitUntil(() => counts.cancelled > 0);
  t.equal(counts.cancelled, 1);
  t.match(await (await requestHttp(`${fleet.urls[0]!}/metrics`)).body.text(), /reason="caller_gone"\} 1/);
  await fleet.stop();
});

// Guards against unbounded buffering for a caller that does not read, and against timing out its request.
t.test("slow reader slows the engine down and gets the full response", async (t) => {
  // 48 MB in total, more than fits in the socket buffers on the path.
  const tokenCount = 3000;
  const fleet = await startFleet({
    engine: { tokenIntervalMs: 0, tokenPaddingBytes: 16_384 },
    defaults: { tokenGapTimeoutMs: 150, firstTokenTimeoutMs: 150 },
  });
  const response = await openStream(fleet.urls[0]!, tokenCount);
  const { counts } = fleet.engines[0]!;
  let before = -1;
  for (let checks = 0; checks < 20 && counts.tokens !== before; checks += 1) {
    before = counts.tokens;
    await delay(400);
  }
  t.ok(counts.tokens < tokenCount, "the engine waits");
  const chunks: Buffer[] = [];
  for await (const chunk of response as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  t.equal(text.match(/"token_index"/g)?.length, tokenCount);
  t.ok(text.endsWith("data: [DONE]\n\n"));
  t.match(counts, { started: 1, cancelled: 0 }, "a caller that stops reading does not time out the engine");
  await fleet.stop();
});

// Guards against new requests on a configuration that may have been replaced.
t.test("entry without control refuses new work and finishes old", async (t) => {
  const fleet = await startFleet({
    defaults: { servingLeaseMs: 1500 },
    engine: { tokenIntervalMs: 20 },
  });
  const running = requestModel(fleet.urls[0]!, "running", { tokenCount: 150 });
  fleet.control.reachable = false;
  await delay(2000);
  const refused = await requestModel(fleet.urls[0]!, "refused");
  t.equal(refused.status, 503);
  t.match(refused.problem, { reason: "control_lost", outcome: "not_run", addresses: Array });
  t.ok((await running).isComplete);
  t.equal((await requestHttp(`${fleet.urls[0]!}/readyz`)).statusCode, 503);
  await fleet.stop();
});

// Guards against unknown callers, and against errors without reason and outcome.
t.test("unknown caller, bad body, unknown model", async (t) => {
  const fleet = await startFleet({ settings: { anonymousTeam: "", maxBodyBytes: 2048 } });
  const [url = ""] = fleet.urls;
  const headers = { authorization: "Bearer token-of-yard" };
  const cases: readonly (readonly [string, number, Parameters<typeof requestModel>[2]])[] = [
    ["caller_unknown", 401, {}],
    ["caller_unknown", 401, { headers: { authorization: "Bearer token-of-yarn" } }],
    ["bad_request", 400, { headers, body: { max_tokens: -1 } }],
    ["body_too_large", 413, { headers, body: { user: "x".repeat(3000) } }],
    ["no_target", 503, { headers, body: { model: "other" } }],
  ];
  for (const [reason, status, options] of cases) {
    const response = await requestModel(url, "p", options);
    t.equal(response.status, status);
    t.match(response.problem, { reason, outcome: "not_run", requestId: /^[0-9a-f-]{36}$/ });
    t.equal(response.headers["content-type"], "application/problem+json");
    t.match(response.headers["retry-after"], /^\d+$/);
  }
  await fleet.stop();
});

// Guards against explanations shown to other teams, and against explanations with missing attempts.
t.test("explain shows attempts only to the request's team", async (t) => {
  const fleet = await startFleet();
  Object.assign(fleet.engines[0]!.faults, { killAtToken: 5, remainingCount: 1 });
  const response = await requestModel(fleet.urls[0]!, "explained");
  const id = String(response.headers["clementinemux-request"]);
  const explained = await getJson(`${fleet.urls[0]!}/v1/explain/${id}`);
  t.match(explained, { result: "completed", tokenCount: 20, attempts: [{ end: "stream_broken" }, {}] });
  const headers = { authorization: "Bearer token-of-yard" };
  const other = await requestHttp(`${fleet.urls[0]!}/v1/explain/${id}`, { headers });
  t.equal(other.statusCode, 404);
  await fleet.stop();
});

// Guards against requests truncated by a shutdown, and against listing the address of a leaving entry.
t.test("shutdown under load truncates no response", async (t) => {
  const fleet = await startFleet({
    entryCount: 2,
    defaults: { addressTtlMs: 300 },
    settings: { addressSettleMs: 100 },
    engine: { tokenIntervalMs: 5 },
  });
  const [url = "", otherUrl = ""] = fleet.urls;
  const responses: Promise<Awaited<ReturnType<typeof requestModel>>>[] = [];
  const send = (): void => {
    responses.push(requestModel(url, `request ${responses.length}`, { tokenCount: 100 }));
  };
  send();
  const stopped = fleet.entries[0]!.shutDown();
  for (let sent = 0; sent < 10; sent += 1) {
    await delay(20);
    // Callers still use the address that was listed before the shutdown.
    send();
  }
  const listed = await getJson(`${otherUrl}/v1/addresses`);
  t.same(listed.addresses, [otherUrl]);
  t.equal((await requestHttp(`${url}/readyz`)).statusCode, 503);
  for (const response of await Promise.all(responses)) {
    t.ok(response.isComplete);
    t.same(response.tokens, response.expected);
  }
  await stopped;
  await t.rejects(requestHttp(`${url}/healthz`));
  await fleet.stop();
});

// Guards against a shutdown that waits forever, and against requests that it ends without an error.
t.test("second shutdown call ends requests with an error event", async (t) => {
  const fleet = await startFleet({ engine: { tokenIntervalMs: 10 } });
  const pending = requestModel(fleet.urls[0]!, "long", { tokenCount: 1000 });
  await delay(150);
  void fleet.entries[0]!.shutDown();
  const stopped = fleet.entries[0]!.shutDown();
  const response = await pending;
  t.notOk(response.isComplete);
  t.equal(response.problem?.reason, "shutdown_deadline");
  await stopped;
  await fleet.stop();
});
