import type { Socket } from "node:net";
import t from "tap";
import { ByteBudget } from "@clementinemux/gateway/ByteBudget";
import { HeldBytes } from "@clementinemux/gateway/HeldBytes";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { answers } from "./answers";
import { startGateway } from "./startGateway";

const unsafe = { kind: RouteKind.NonIdempotent, attempts: 1, timeoutMs: 8000 };
const stream = { kind: RouteKind.Streaming, canResume: false, attempts: 1, timeoutMs: 8000 };
/** Allowed to the gateway by startGateway, and what may be on its way between sockets. */
const mostHeldBytes = 8_388_608;
const block = "x".repeat(65_536);
const chunkedHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;

/** Writes the same bytes again and again, as fast as they are taken, until the other side closes. */
function writeEndlessly(socket: Socket, text: string): void {
  const write = (): void => {
    while (!socket.destroyed && socket.write(text)) {
      // Goes on until the connection is full.
    }
  };
  socket.on("drain", write);
  write();
}

const endless: Record<string, { first: (id: string) => string; text: string; isStream?: boolean }> = {
  "header lines": { first: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n`, text: "x-more: 1\r\n".repeat(500) },
  "one header": { first: () => "HTTP/1.1 200 OK\r\nx-long: ", text: block },
  "no protocol at all": { first: () => "", text: block },
  "provisional answers": { first: () => "", text: "HTTP/1.1 100 Continue\r\n\r\n".repeat(100) },
  "a body without length": { first: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n`, text: block },
  "a body in chunks": { first: chunkedHead, text: answers.chunk(block) },
  "a chunk extension": { first: (id) => `${chunkedHead(id)}1;`, text: block },
  trailers: { first: (id) => `${chunkedHead(id)}0\r\n`, text: "x-more: 1\r\n".repeat(500) },
  "an event": { first: (id) => answers.streamHead(id), text: answers.chunk(block), isStream: true },
};

for (const [name, { first, text, isStream = false }] of Object.entries(endless)) {
  // Guards against a target in trouble that fills the memory of a gateway, or keeps a request until its deadline.
  t.test(`endless bytes: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(first(id));
      writeEndlessly(socket, text);
    });
    const { gateway, call, stop } = await startGateway(createDocument(1, [isStream ? stream : unsafe]), [
      target,
    ]);
    const startedMs = performance.now();
    const answer = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.ok(answer.status === 502 || !answer.isComplete, "no success");
    t.ok(performance.now() - startedMs < 3000, "ended by its size, not by its time limit");
    await waitUntil("the connection is closed", () => (target.closed === 1 ? true : null), 1000);
    t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
    await stop();
  });
}

// Guards against many such targets at once, each within its own bound.
t.test("endless bodies at once stay within one budget", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(chunkedHead(id));
    writeEndlessly(socket, answers.chunk(block));
  });
  const targets = [target, new TestTarget(({ id }, socket) => socket.write(answers.whole(id, "ok")))];
  const { gateway, call, stop } = await startGateway(
    createDocument(1, [{ ...unsafe, attempts: 1 }]),
    targets,
  );
  const held: number[] = [];
  const timer = setInterval(() => {
    held.push(Number(/held_bytes (\d+)/.exec(gateway.renderMetrics())?.[1]));
  }, 5);
  const statuses = await Promise.all(
    Array.from({ length: 8 }, async (_, index) => {
      const { status } = await call({ path: "/p0/", method: "POST" }, `r${index}`, "x");
      return status;
    }),
  );
  clearInterval(timer);
  t.ok(statuses.every((status) => status === 502 || status === 200 || status === 503));
  t.ok(statuses.includes(502));
  t.ok(Math.max(...held) <= mostHeldBytes, "the budget holds for all together");
  t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  await stop();
});

// Guards against uploads that fill the memory together, each within the bound of one body.
t.test("requests beyond what a gateway may hold are refused as not run", async (t) => {
  const target = new TestTarget(() => undefined);
  const { call, open, stop } = await startGateway(createDocument(1, [unsafe]), [target]);
  const waiting = Array.from({ length: 100 }, (_, index) => {
    const sent = open({ path: "/p0/", method: "POST" }, `w${index}`);
    sent.on("error", () => undefined);
    sent.write("x");
    return sent;
  });
  const answer = await waitUntil("the bound is reached", async () => {
    const { status, headers } = await call({ path: "/p0/", method: "POST" }, "r1", "x").catch(() => ({
      status: 0,
      headers: {},
    }));
    return status === 503 ? headers : null;
  });
  t.ok(Number(answer["retry-after" as keyof typeof answer]) > 0);
  for (const sent of waiting) {
    sent.destroy();
  }
  await stop();
});

t.test("a budget is shared by its holders and given back", (t) => {
  const budget = new ByteBudget(100);
  const [first, second] = [new HeldBytes(budget), new HeldBytes(budget)];
  t.ok(first.set(60));
  t.notOk(second.set(50));
  t.ok(second.set(40));
  t.ok(first.set(10));
  t.equal(budget.usedBytes, 50);
  first.release();
  second.release();
  t.equal(budget.usedBytes, 0);
  t.end();
});
