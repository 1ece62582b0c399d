import type { Socket } from "node:net";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import type { ResponseWriter } from "@clementinemux/gateway/ResponseWriter";
import { ByteBudget } from "@clementinemux/gateway/ByteBudget";
import { EventPacer } from "@clementinemux/gateway/EventPacer";
import { EventRelay } from "@clementinemux/gateway/EventRelay";
import { ByteReservation } from "@clementinemux/gateway/ByteReservation";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import type { EndlessResponse } from "../../wire/test/helpers/EndlessResponse";
import { endlessResponses } from "../../wire/test/helpers/endlessResponses";
import { writeEndlessly } from "../../wire/test/helpers/writeEndlessly";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Only a hanging test takes this long.
t.setTimeout(90_000);

const nonIdempotent = { kind: RouteKind.NonIdempotent, attempts: 1, timeoutMs: 8000 };
const stream = { kind: RouteKind.Streaming, canResume: false, attempts: 1, timeoutMs: 8000 };
/** The budget that startGateway sets; also the scale for bytes in flight between sockets. */
const maxBufferedBytes = 8_388_608;
const block = "x".repeat(65_536);
const chunkedHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;

/** Writes the same bytes every 20 ms until the other side closes. */
function writeSlowly(socket: Socket, text: string): void {
  const timer = setInterval(() => socket.write(text), 20);
  socket.once("close", () => {
    clearInterval(timer);
  });
}

for (const [name, { first, full, isOneEvent = false }] of Object.entries<EndlessResponse>(endlessResponses)) {
  // Guards against a faulty target that fills the memory of a gateway, or occupies a request until its
  // deadline.
  t.test(`endless bytes: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(first(`x-id: ${id}\r\n`));
      writeEndlessly(socket, full);
    });
    const { gateway, call, stop } = await startGateway(
      createDocument(1, [isOneEvent ? stream : nonIdempotent]),
      [target],
    );
    t.teardown(stop);
    const startedMs = performance.now();
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.ok(response.status === 502 || !response.isComplete, "no success");
    t.ok(performance.now() - startedMs < 3000, "ended by the size limit, not by the timeout");
    await waitUntil("the connection is closed", () => (target.closed === 1 ? true : null), 1000);
    t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  });
}

// Guards against the same with bytes that arrive slowly, which no size limit ends.
for (const [name, { first, slow, isOneEvent = false }] of Object.entries<EndlessResponse>(endlessResponses)) {
  t.test(`endless bytes, slowly: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(first(`x-id: ${id}\r\n`));
      writeSlowly(socket, slow);
    });
    const route = { ...(isOneEvent ? stream : nonIdempotent), timeoutMs: 700 };
    const { gateway, call, stop } = await startGateway(createDocument(1, [route]), [target]);
    t.teardown(stop);
    const startedMs = performance.now();
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.ok(response.status === 502 || response.status === 504 || !response.isComplete, "no success");
    t.ok(performance.now() - startedMs < 1500, "ended by the route's timeout at the latest");
    await waitUntil("the connection is closed", () => (target.closed === 1 ? true : null), 1000);
    t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  });
}

// Guards against bytes after a complete response that keep a connection and the gateway busy until the target
// stops.
for (const [name, write] of Object.entries({
  "at once": writeEndlessly,
  slowly: (socket: Socket) => {
    writeSlowly(socket, "x");
  },
})) {
  t.test(`endless bytes after a complete response, ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(responses.whole(id, "ok"));
      setTimeout(write, 20, socket, block);
    });
    const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
    t.match(await call({ path: "/p0/", method: "POST" }, "r1", "x"), { status: 200, body: "ok" });
    await waitUntil("the connection is closed", () => (target.closed === 1 ? true : null), 1000);
    await stop();
  });
}

// Guards against an endless stream of complete events: those that were delayed to even out pauses filled the
// memory.
t.test("delayed endless events stay within a limit", (t) => {
  const written: Buffer[] = [];
  const writer = {
    write: (bytes: Buffer) => {
      written.push(bytes);
      return false;
    },
  } as unknown as ResponseWriter;
  const pacer = new EventPacer({ maxHoldMs: 80, gapObjectiveMs: 500 });
  const relay = new EventRelay({
    writer,
    pacer,
    clock: new SystemClock(),
    guard: (action) => {
      action();
    },
    onGap: () => undefined,
  });
  let pauses = 0;
  const source = { pause: () => (pauses += 1), resume: () => undefined };
  const event = Buffer.from(`data: ${"x".repeat(1000)}\n\n`);
  let maxBuffered = 0;
  for (let count = 1; count <= 10_000; count += 1) {
    relay.push(event, null, source);
    maxBuffered = Math.max(maxBuffered, (count - written.length) * event.length);
  }
  t.ok(maxBuffered <= 65_536, `${maxBuffered} bytes were buffered`);
  t.ok(pauses > 0, "the target is paused while the caller does not read");
  relay.cancel();
  t.end();
});

// Guards against reading an endless target for a caller that does not read.
t.test("endless events for a caller that does not read", async (t) => {
  let socket: Socket | null = null;
  const target = new TestTarget(({ id }, taken) => {
    socket = taken;
    taken.write(responses.streamHead(id));
    writeEndlessly(taken, responses.chunk(`data: ${block}\n\n`));
  });
  const route = { ...stream, gapObjectiveMs: 500, timeoutMs: 1500 };
  const { gateway, open, stop } = await startGateway(createDocument(1, [route]), [target]);
  const caller = open({ path: "/p0/", method: "POST" }, "r1");
  caller.on("error", () => undefined);
  caller.on("response", (response) => {
    response.on("error", () => undefined);
    response.pause();
  });
  caller.end("x");
  await waitUntil("the route's timeout ends it", () => (target.closed === 1 ? true : null), 3000);
  t.ok(
    socket!.bytesWritten < 3 * maxBufferedBytes,
    `${socket!.bytesWritten} bytes were read from the target`,
  );
  t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  caller.destroy();
  await stop();
});

// Guards against many such targets at once, each within its own limit.
t.test("endless bodies at once stay within one budget", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(chunkedHead(id));
    writeEndlessly(socket, responses.chunk(block));
  });
  const targets = [target, new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")))];
  const { gateway, call, stop } = await startGateway(
    createDocument(1, [{ ...nonIdempotent, attempts: 1 }]),
    targets,
  );
  const buffered: number[] = [];
  const timer = setInterval(() => {
    buffered.push(Number(/held_bytes (\d+)/.exec(gateway.renderMetrics())?.[1]));
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
  t.ok(Math.max(...buffered) <= maxBufferedBytes, "the budget covers all requests together");
  t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  await stop();
});

// Guards against uploads that fill the memory together although each is within the limit of one body.
t.test("requests beyond a gateway's limits are rejected as not run", async (t) => {
  const target = new TestTarget(() => undefined);
  const { call, open, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
  const waiting = Array.from({ length: 100 }, (_, index) => {
    const sent = open({ path: "/p0/", method: "POST" }, `w${index}`);
    sent.on("error", () => undefined);
    sent.write("x");
    return sent;
  });
  const response = await waitUntil("the limit is reached", async () => {
    const { status, headers } = await call({ path: "/p0/", method: "POST" }, "r1", "x").catch(() => ({
      status: 0,
      headers: {},
    }));
    return status === 503 ? headers : null;
  });
  t.ok(Number(response["retry-after" as keyof typeof response]) > 0);
  for (const sent of waiting) {
    sent.destroy();
  }
  await stop();
});

t.test("a budget is shared by its reservations and released", (t) => {
  const budget = new ByteBudget(100);
  const [first, second] = [new ByteReservation(budget), new ByteReservation(budget)];
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
