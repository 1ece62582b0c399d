import { createServer as createHttpServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import t from "tap";
import type { Test } from "tap";
import { request as requestHttp } from "undici";
import { Forwarder } from "@clementinemux/agent/Forwarder";
import { TargetCrashes } from "@clementinemux/agent/TargetCrashes";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { isRefusingConnections } from "@clementinemux/wire/isRefusingConnections";

/** Starts a target that answers with raw bytes, and an agent's forwarder before it. */
async function start(t: Test, respond: (socket: Socket, close: () => void) => void) {
  const target = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      respond(socket, () => target.close());
    });
  });
  await new Promise<void>((resolve) => target.listen(0, "127.0.0.1", resolve));
  const { port } = target.address() as AddressInfo;
  const crashes = new TargetCrashes({
    clock: new SystemClock(),
    isRefusing: () => isRefusingConnections(`127.0.0.1:${port}`),
  });
  const forwarder = new Forwarder({ host: "127.0.0.1", port }, 1000);
  const agent: Server = createHttpServer((request, response) => {
    const onUnreachable = (): unknown => response.writeHead(503).end();
    const onBroken = (): Promise<void> => crashes.examine();
    forwarder.forward(request, response, {
      repeatable: true,
      headers: {},
      onUnreachable,
      onBroken,
      guard: (action) => {
        action();
      },
    });
  });
  await new Promise<void>((resolve) => agent.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    agent.closeAllConnections();
    agent.close();
    forwarder.close();
    target.close();
  });
  const call = async (): Promise<number | null> => {
    try {
      const { statusCode, body } = await requestHttp(
        `http://127.0.0.1:${(agent.address() as AddressInfo).port}/`,
      );
      await body.text();
      return statusCode;
    } catch {
      return null;
    }
  };
  return { crashes, call };
}

const endings: Readonly<Record<string, string>> = {
  "before its response": "",
  "within the head of its response": "HTTP/1.1 200 OK\r\ncontent-le",
  "within the body of its response": "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
};

// Guards against an entry that is told of a broken request, and not of the crash.
for (const [name, bytes] of Object.entries(endings)) {
  t.test(`a target that crashes ${name} is known to have crashed when the entry is told`, async (t) => {
    const { crashes, call } = await start(t, (socket, close) => {
      close();
      socket.end(bytes);
    });
    t.equal(crashes.last, null);
    t.not(await call(), 200);
    t.match(crashes.last, { number: 1 });
  });
}

// Guards against a connection that was closed by chance and counts as a crash.
t.test("a target that still accepts connections has not crashed", async (t) => {
  const { crashes, call } = await start(t, (socket) => {
    socket.destroy();
  });
  t.equal(await call(), 502);
  t.equal(crashes.last, null);
});
