import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { blockEventLoop } from "../../wire/test/helpers/blockEventLoop";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Limit for a hang; a passing run stays far below it.
t.setTimeout(90_000);

/** Streams are ended after 8 times the allowed pause: 800 ms. */
const stream = {
  kind: RouteKind.Streaming,
  canResume: false,
  attempts: 1,
  objectiveMs: 100,
  gapObjectiveMs: 100,
  timeoutMs: 8000,
};
const stallMs = 800;
const event = (id: number): string => responses.chunk(responses.event(id));

const drips: Record<string, { first: string; drip: string }> = {
  "nothing more": { first: event(1), drip: "" },
  "an event that is never complete": { first: event(1), drip: responses.chunk("x") },
  "a first event that is never complete": { first: responses.chunk("data: "), drip: responses.chunk("x") },
  comments: { first: event(1), drip: responses.chunk(": wait\n\n") },
  "a chunk size": { first: event(1), drip: "0" },
};

for (const [name, { first, drip }] of Object.entries(drips)) {
  // Guards against stalled streams that stay open until the route's timeout because a byte arrives now and
  // then.
  t.test(`a stalled stream is ended: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(responses.streamHead(id) + first);
      const timer = setInterval(() => socket.write(drip), 20);
      socket.once("close", () => {
        clearInterval(timer);
      });
    });
    const { call, stop } = await startGateway(createDocument(1, [stream]), [target]);
    const startedMs = performance.now();
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    const tookMs = performance.now() - startedMs;
    t.ok(tookMs >= stallMs && tookMs < stallMs + 1500, `${Math.round(tookMs)} ms`);
    t.ok(response.status === 502 || !response.isComplete, "guards against a break that looks like the end");
    await waitUntil("the connection is closed", () => (target.closed === 1 ? true : null), 1000);
    await stop();
  });
}

// Guards against a stalled target that ends a stream which another target could continue.
t.test("a stalled stream resumes at another target", async (t) => {
  const script =
    (other: number): ConstructorParameters<typeof TestTarget>[0] =>
    ({ id, head }, socket) => {
      const isResumed = /x-after: 1/i.test(head);
      socket.write(responses.streamHead(id) + (isResumed ? event(2) + responses.streamEnd : event(other)));
    };
  const targets = [new TestTarget(script(1)), new TestTarget(script(1))];
  const route = { ...stream, canResume: true, attempts: 2 };
  const { call, stop } = await startGateway(createDocument(1, [route]), targets);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.body, responses.event(1) + responses.event(2));
  t.ok(response.isComplete);
  await stop();
});

/** Sends events with a pause before each, then the end of the stream. */
async function sendEvents(socket: { write: (text: string) => unknown }, count: number, pauseMs: number) {
  for (let id = 1; id <= count; id += 1) {
    await delay(pauseMs);
    socket.write(event(id));
  }
  socket.write(responses.streamEnd);
}

// Guards against healthy streams that are cut: each pause is far longer than the route allows, but callers
// still wait.
for (const [name, route, pauseMs] of [
  ["pauses that callers tolerate", stream, 600],
  ["a route without an allowed pause", { ...stream, gapObjectiveMs: 0 }, 1000],
] as const) {
  t.test(`a slow stream is not cut: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(responses.streamHead(id));
      void sendEvents(socket, 4, pauseMs);
    });
    const { call, stop } = await startGateway(createDocument(1, [route]), [target]);
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.equal(response.body, [1, 2, 3, 4].map(responses.event).join(""));
    t.ok(response.isComplete);
    await stop();
  });
}

// Guards against a stream that counts as stalled because the gateway's process was stalled, or the caller did
// not read.
t.test("a stream is not cut for the time that its gateway was stalled", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(responses.streamHead(id) + event(1));
    setTimeout(() => {
      socket.write(event(2));
      blockEventLoop(2 * stallMs);
      setTimeout(() => socket.write(event(3) + responses.streamEnd), 300);
    }, 400);
  });
  const { call, stop } = await startGateway(createDocument(1, [stream]), [target]);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.body, [1, 2, 3].map(responses.event).join(""));
  t.ok(response.isComplete);
  await stop();
});

for (const [name, textBytes, count] of [
  ["large events", 65_536, 400],
  ["small events", 500, 40_000],
] as const) {
  t.test(`a stream is not cut for a caller that does not read: ${name}`, async (t) => {
    const text = "x".repeat(textBytes);
    const target = new TestTarget(({ id }, socket) => {
      socket.write(responses.streamHead(id));
      for (let at = 1; at <= count; at += 1) {
        socket.write(responses.chunk(`id: ${at}\ndata: ${text}\n\n`));
      }
      socket.write(responses.streamEnd);
    });
    const { open, stop } = await startGateway(createDocument(1, [stream]), [target]);
    const sent = open({ path: "/p0/", method: "POST" }, "r1");
    const length = new Promise<number>((resolve) => {
      sent.on("response", (response) => {
        let bytes = 0;
        response.on("error", () => undefined);
        response.on("close", () => {
          resolve(response.complete ? bytes : 0);
        });
        setTimeout(() => {
          response.on("data", (chunk: Buffer) => (bytes += chunk.length));
        }, 2 * stallMs);
      });
    });
    sent.end("x");
    t.ok((await length) > count * text.length);
    await stop();
  });
}
