import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { postponeTimeouts } from "@clementinemux/wire/postponeTimeouts";
import { RawConnection } from "./helpers/RawConnection";
import { blockEventLoop } from "./helpers/blockEventLoop";

// Reached only when a test hangs.
t.setTimeout(60_000);

const limits = { headersTimeout: 300, requestTimeout: 500, connectionsCheckingInterval: 100 };
const stallMs = 1000;
const head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n";

async function startServer() {
  const codes: (string | undefined)[] = [];
  const server = createServer(limits, (request, response) => {
    request.resume().on("end", () => response.end("ok"));
  });
  postponeTimeouts(server, (error, socket) => {
    codes.push(error.code);
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const stop = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return { port: (server.address() as AddressInfo).port, codes, stop };
}

// Guards against a timeout of a request whose body waited in the socket while the process was stalled.
t.test("a body that arrived during a stall is read", async (t) => {
  const { port, codes, stop } = await startServer();
  const [connection] = (await RawConnection.openAll(port, 1)) as [RawConnection];
  connection.send(`${head}\r\nbo`);
  await delay(50);
  connection.send("dy");
  blockEventLoop(stallMs);
  await connection.waitFor("ok");
  t.match(connection.text, /^HTTP\/1.1 200/);
  t.same(codes, []);
  stop();
});

// Guards against requests without a timeout: Node stops checking a request once it has reported it as late.
t.test("a request that arrived partly during a stall still has a timeout", async (t) => {
  const { port, codes, stop } = await startServer();
  const [body, headers] = (await RawConnection.openAll(port, 2)) as [RawConnection, RawConnection];
  body.send(`${head}\r\nb`);
  headers.send(head);
  await delay(50);
  body.send("o");
  headers.send("\r\nb");
  blockEventLoop(stallMs);
  await Promise.all([body.waitForClose(), headers.waitForClose()]);
  t.same(codes, ["ERR_HTTP_REQUEST_TIMEOUT", "ERR_HTTP_REQUEST_TIMEOUT"]);
  stop();
});
