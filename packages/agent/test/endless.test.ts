import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { Forwarder } from "@clementinemux/agent/Forwarder";
import { TargetClient } from "@clementinemux/agent/TargetClient";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { EndlessTarget } from "../../wire/test/helpers/EndlessTarget";
import { RawConnection } from "../../wire/test/helpers/RawConnection";
import { endlessResponses } from "../../wire/test/helpers/endlessResponses";

// Only a hanging test takes this long.
t.setTimeout(90_000);

const host = "127.0.0.1";
const speeds = { "at full speed": 0, slowly: 20 };
const completeResponse = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

for (const [speed, writeIntervalMs] of Object.entries(speeds)) {
  for (const [name, { first, full, slow }] of Object.entries(endlessResponses)) {
    // Guards against a faulty target whose polls never end or exhaust the agent's memory.
    t.test(`poll of a target, ${speed}: ${name}`, async (t) => {
      const target = new EndlessTarget({
        first: () => first(""),
        more: writeIntervalMs === 0 ? full : slow,
        writeIntervalMs,
      });
      const client = new TargetClient({ host, port: await target.listen() });
      t.teardown(() => {
        client.close();
        target.close();
      });
      const startedMs = performance.now();
      await t.rejects(client.send({ method: "GET", path: "/engine/load", timeoutMs: 300 }));
      t.ok(performance.now() - startedMs < 1000);
      await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
    });
  }

  // Guards against bytes after a response that are read forever or taken for the next response.
  t.test(`bytes after the response to a poll, ${speed}`, async (t) => {
    const target = new EndlessTarget({
      first: () => completeResponse,
      more: "x".repeat(writeIntervalMs === 0 ? 65_536 : 1),
      writeIntervalMs,
    });
    const client = new TargetClient({ host, port: await target.listen() });
    const poll = { method: "GET", path: "/engine/load", timeoutMs: 300 };
    t.same(await client.send(poll), { status: 200, text: "{}" });
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
    t.same(await client.send(poll), { status: 200, text: "{}" });
    client.close();
    target.close();
  });
}

const forwardedRequest = "POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}";

/** Sends a request through a forwarder and disconnects the caller once the target has begun its response. */
async function forwardAndDisconnect(
  t: Test,
  target: EndlessTarget,
  repeatable: boolean,
  abandonedTimeoutMs: number,
) {
  const forwarder = new Forwarder({ host, port: await target.listen() }, abandonedTimeoutMs);
  const server = createServer((request, response) => {
    forwarder.forward(request, response, {
      repeatable,
      headers: {},
      onBroken: () => Promise.resolve(),
      guard: (action) => {
        action();
      },
      onUnreachable: () => response.destroy(),
    });
  });
  t.teardown(() => {
    forwarder.close();
    server.close();
    target.close();
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const [caller] = (await RawConnection.openAll((server.address() as AddressInfo).port, 1)) as [
    RawConnection,
  ];
  caller.send(forwardedRequest);
  await waitUntil("the target responds", () => (target.requestCount === 1 ? true : null), 1000);
  await delay(50);
  caller.close();
  return forwarder;
}

for (const [name, { first, full, slow }] of Object.entries(endlessResponses)) {
  // Guards against a repeatable call that continues after its caller has disconnected, since its response
  // never ends.
  t.test(`endless response to a repeatable call: ${name}`, async (t) => {
    const target = new EndlessTarget({ first: () => first(""), more: full, writeIntervalMs: 0 });
    const forwarder = await forwardAndDisconnect(t, target, true, 60_000);
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
    await waitUntil("the call has ended", () => (forwarder.inFlight === 0 ? true : null), 1000);
    t.equal(target.requestCount, 1);
  });

  // Guards against non-repeatable calls that continue without their caller and never end.
  t.test(`endless response to an abandoned call, slowly: ${name}`, async (t) => {
    const target = new EndlessTarget({ first: () => first(""), more: slow, writeIntervalMs: 20 });
    const forwarder = await forwardAndDisconnect(t, target, false, 300);
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
    await waitUntil("the call has ended", () => (forwarder.inFlight === 0 ? true : null), 1000);
    t.equal(target.requestCount, 1);
  });

  t.test(`endless response to an abandoned call, at full speed: ${name}`, async (t) => {
    const target = new EndlessTarget({ first: () => first(""), more: full, writeIntervalMs: 0 });
    const forwarder = await forwardAndDisconnect(t, target, false, 60_000);
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 5000);
    await waitUntil("the call has ended", () => (forwarder.inFlight === 0 ? true : null), 1000);
    t.equal(target.requestCount, 1);
  });
}

// Guards against kept-alive connections on which a target continues to send after its response.
t.test("bytes after the response to a call", async (t) => {
  const target = new EndlessTarget({
    first: () => completeResponse,
    more: "x".repeat(65_536),
    writeIntervalMs: 0,
  });
  await forwardAndDisconnect(t, target, true, 60_000);
  await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
  t.equal(target.requestCount, 1);
});
