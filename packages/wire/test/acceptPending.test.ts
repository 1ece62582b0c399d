import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { acceptPending } from "@clementinemux/wire/acceptPending";
import { RawConnection } from "./helpers/RawConnection";

// Reached only when a test hangs.
t.setTimeout(60_000);

const requestText = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

async function startServer() {
  const server = createServer((request, response) => {
    request.resume().on("end", () => response.end("ok"));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", 1024, resolve));
  return { server, port: (server.address() as AddressInfo).port };
}

/** Opens connections that wait in the server's queue, as the event loop does not run meanwhile. */
async function openPending(port: number, count: number): Promise<RawConnection[]> {
  const connections = Array.from({ length: count }, () => new RawConnection(port));
  // Node connects in the next tick.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  return connections;
}

/** Sends a request on each connection; resolves with what came back in place of a response. */
async function requestAll(connections: readonly RawConnection[]): Promise<string[]> {
  connections.forEach((connection) => {
    connection.send(requestText);
  });
  await Promise.all(connections.map((connection) => connection.waitForClose()));
  return connections.map(({ text }) => text).filter((text) => !text.startsWith("HTTP/1.1 200"));
}

// Guards against connections that are reset because they wait to be accepted when a server stops.
t.test("connections in the queue are accepted before a server stops listening", async (t) => {
  const { server, port } = await startServer();
  const connections = await openPending(port, 200);
  const failed = requestAll(connections);
  await acceptPending(server);
  server.close();
  t.same(await failed, []);
});

// Guards against a stop that closes accepted connections as idle before their first request has come.
t.test(
  "a connection from the queue may send its request after the server has stopped listening",
  async (t) => {
    const { server, port } = await startServer();
    const connections = await openPending(port, 20);
    await acceptPending(server);
    server.close();
    await delay(50);
    t.same(await requestAll(connections), []);
  },
);

// Guards against a stop that callers can postpone without end.
t.test("callers who keep connecting do not postpone the end", async (t) => {
  const { server, port } = await startServer();
  const connections: RawConnection[] = [];
  server.on("connection", () => connections.push(new RawConnection(port)));
  connections.push(new RawConnection(port));
  await acceptPending(server);
  server.close();
  t.ok(connections.length > 2, `${connections.length} connections`);
  connections.forEach((connection) => {
    connection.close();
  });
  server.closeAllConnections();
});
