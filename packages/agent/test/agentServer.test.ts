import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { createAgentServer } from "@clementinemux/agent/createAgentServer";
import { RawConnection } from "../../wire/test/helpers/RawConnection";
import { blockEventLoop } from "../../wire/test/helpers/blockEventLoop";

// Only a hang takes this long.
t.setTimeout(60_000);

/** Longer than the agent's header timeout plus the interval at which it is checked. */
const stallMs = 6500;
const requestHead = "POST /v1/x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n";

async function startServer() {
  const server = await createAgentServer({ maxConnections: 10, tls: undefined }, (request, response) => {
    request.resume();
    if (request.url === "/v1/begun") {
      response.write("begun");
    } else {
      response.writeHead(503).end("not run");
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const stop = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return { server, port: (server.address() as AddressInfo).port, stop };
}

// Guards against an agent that closes connections with waiting requests after a stall: their senders can't
// know whether the requests were run, and may not send them elsewhere.
t.test("a stalled agent responds to requests on open connections", async (t) => {
  const { port, stop } = await startServer();
  const [fresh, split] = (await RawConnection.openAll(port, 2)) as [RawConnection, RawConnection];
  split.send(requestHead);
  await delay(50);
  split.send("\r\n{}");
  fresh.send(`${requestHead}\r\n{}`);
  blockEventLoop(stallMs);
  for (const [name, connection] of Object.entries({ fresh, split })) {
    await connection.waitFor("not run");
    t.match(connection.text, /^HTTP\/1.1 503/, name);
  }
  stop();
});

// Guards the agent's responses to malformed and slow requests.
t.test("malformed and slow requests get a response and their connections are closed", async (t) => {
  const { server, port, stop } = await startServer();
  server.headersTimeout = 300;
  server.requestTimeout = 300;
  const [malformed, large, slow, begun] = (await RawConnection.openAll(port, 4)) as [
    RawConnection,
    RawConnection,
    RawConnection,
    RawConnection,
  ];
  malformed.send("no request\r\n\r\n");
  large.send(`${requestHead}x-large: ${"x".repeat(20_000)}\r\n\r\n`);
  slow.send(requestHead);
  begun.send(`${requestHead.replace("/v1/x", "/v1/begun")}\r\n{`);
  await Promise.all([malformed, large, slow, begun].map((connection) => connection.waitForClose()));
  t.match(malformed.text, /^HTTP\/1.1 400 Bad Request\r\nConnection: close\r\n\r\n/);
  t.match(large.text, /^HTTP\/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n/);
  t.match(slow.text, /^HTTP\/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n/);
  t.match(begun.text, /^HTTP\/1.1 200/);
  t.notMatch(begun.text, /408/);
  stop();
});
