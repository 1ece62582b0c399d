import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import t from "tap";
import { probeAgent } from "@clementinemux/membership/probeAgent";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { EndlessTarget } from "../../wire/test/helpers/EndlessTarget";
import { endlessResponses } from "../../wire/test/helpers/endlessResponses";

async function listen(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against taking a stopped process for alive because the kernel accepts its connections.
t.test("accepted connection does not prove a live process", async (t) => {
  const silent = createServer();
  const address = await listen(silent);
  t.equal(await probeAgent({ target: "r-0", incarnation: "1", address }, 50), false);
  silent.close();
  t.equal(await probeAgent({ target: "r-0", incarnation: "1", address }, 1000), false);
});

// Guards against another process on the address of a dead target.
t.test("response must name target and incarnation", async (t) => {
  const server = createHttpServer((_, response) => {
    response.end(JSON.stringify({ target: "r-0", stamp: "1/500" }));
  });
  const address = await listen(server);
  t.equal(await probeAgent({ target: "r-0", incarnation: "1", address }, 1000), true);
  t.equal(await probeAgent({ target: "r-0", incarnation: "2", address }, 1000), false);
  t.equal(await probeAgent({ target: "r-1", incarnation: "1", address }, 1000), false);
  server.close();
});

for (const [name, { first, full }] of Object.entries(endlessResponses)) {
  // Guards against a faulty agent that keeps a coordinator busy until the timeout of the probe.
  t.test(`endless response: ${name}`, async (t) => {
    const target = new EndlessTarget({ first: () => first(""), more: full, writeIntervalMs: 0 });
    const address = `127.0.0.1:${await target.listen()}`;
    t.teardown(() => {
      target.close();
    });
    t.equal(await probeAgent({ target: "r-0", incarnation: "1", address }, 60_000), false);
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
  });
}
