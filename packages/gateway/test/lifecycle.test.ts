import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Limit for a hang; a passing run stays far below it.
t.setTimeout(90_000);

const stream = { kind: RouteKind.Streaming, canResume: true, attempts: 2 };
/** Revoked keys stop working within this time. */
const revokeMs = 5000;

// Guards against requests that are cut off by a rollout of the gateway.
t.test("a stopping gateway completes requests and sends Connection: close", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(responses.streamHead(id) + responses.chunk(responses.event(1)));
    setTimeout(() => socket.write(responses.chunk(responses.event(2)) + responses.streamEnd), 800);
  });
  const { gateway, call, readyPort, stop } = await startGateway(createDocument(1, [stream]), [target]);
  const running = call({ path: "/p0/", method: "POST" }, "r1", "x");
  await waitUntil("the request runs", () => (target.requests.length === 1 ? true : null), 1000);
  const stopped = gateway.shutDown();
  t.equal((await fetch(`http://127.0.0.1:${readyPort}/ready`)).status, 503);
  const late = await call({ path: "/p0/", method: "POST" }, "r2", "x");
  t.match(late, { status: 200, headers: { connection: "close" }, isComplete: true });
  t.match(await running, { body: responses.event(1) + responses.event(2), isComplete: true });
  await stopped;
  t.equal(gateway.inFlight, 0);
  await stop();
});

// Guards against keys that still work after they were revoked, and against a gateway that serves by outdated
// state.
t.test("a revoked key and outdated state both end service in time", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { state, call, readyPort, stop } = await startGateway(createDocument(1), [target]);
  t.equal((await call({ path: "/p0/" }, "r1")).status, 200);
  state.document = { ...createDocument(2), teams: [{ name: "team-a", keys: ["key-b"], priority: null }] };
  const revokedAtMs = performance.now();
  await waitUntil("the key is rejected", async () =>
    (await call({ path: "/p0/" }, "r2")).status === 401 ? true : null,
  );
  t.ok(performance.now() - revokedAtMs < 1000);
  state.ageMs = null;
  const lostAtMs = performance.now();
  await waitUntil("the gateway rejects all requests", async () => {
    const response = await call({ path: "/p0/", headers: { "x-key": "key-b" } }, "r3");
    return response.status === 503 && Number(response.headers["retry-after"]) > 0 ? true : null;
  });
  t.ok(performance.now() - lostAtMs < revokeMs);
  t.equal((await fetch(`http://127.0.0.1:${readyPort}/ready`)).status, 503);
  state.ageMs = 0;
  await delay(500);
  t.equal((await call({ path: "/p0/", headers: { "x-key": "key-b" } }, "r4")).status, 200);
  await stop();
});

// Guards against callers that were cut off by a restart of all processes, retry once, and are rejected.
t.test("a gateway that has just started keeps requests waiting for its first document", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { state, call, stop } = await startGateway(createDocument(1), [target], null);
  const waiting = call({ path: "/p0/" }, "r1");
  await delay(300);
  t.equal(target.requests.length, 0);
  state.ageMs = 0;
  t.match(await waiting, { status: 200, body: "ok" });
  await stop();
});

t.test("a gateway that receives no document after its start rejects within 1.5 s", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { call, stop } = await startGateway(createDocument(1), [target], null);
  const startedMs = performance.now();
  const response = await call({ path: "/p0/" }, "r1");
  t.equal(response.status, 503);
  t.ok(Number(response.headers["retry-after"]) > 0);
  t.ok(performance.now() - startedMs < 1500);
  await stop();
});
