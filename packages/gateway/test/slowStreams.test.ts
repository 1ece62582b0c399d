import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const stream = { kind: RouteKind.Streaming, canResume: true, attempts: 2 };
const events = [1, 2, 3, 4];

// Guards against streams that are cut because they are slow: each event arrives late and byte by byte.
t.test("a slow stream that makes progress is complete, and is sent once", async (t) => {
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        const bytes = responses.streamHead(id) + events.map(responses.event).map(responses.chunk).join("");
        let at = 0;
        const timer = setInterval(() => {
          socket.write(bytes[at] ?? responses.streamEnd);
          at += 1;
          if (at > bytes.length) {
            clearInterval(timer);
          }
        }, 6);
      }),
  );
  const { call, stop } = await startGateway(createDocument(1, [{ ...stream, timeoutMs: 8000 }]), targets);
  t.teardown(stop);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.body, events.map(responses.event).join(""));
  t.ok(response.isComplete);
  t.equal(
    targets.reduce((sum, { requests }) => sum + requests.length, 0),
    1,
  );
});

// Guards against responses that never end because a byte arrives now and then.
for (const [name, head, byte] of [
  [
    "a comment of a stream",
    (id: string) => responses.streamHead(id) + responses.chunk(responses.event(1)),
    "1\r\n:\r\n",
  ],
  [
    "a body with a length",
    (id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 9999\r\n\r\n`,
    "x",
  ],
  ["a head", (id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-filler: `, "x"],
] as const) {
  t.test(`a byte now and then: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(head(id));
      const timer = setInterval(() => socket.write(byte), 20);
      socket.once("close", () => {
        clearInterval(timer);
      });
    });
    const route = { ...stream, canResume: false, timeoutMs: 500 };
    const { call, stop } = await startGateway(createDocument(1, [route]), [target]);
    t.teardown(stop);
    const startedAtMs = performance.now();
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.ok(performance.now() - startedAtMs < 1000, "ends by the route's timeout");
    t.ok(response.status === 504 || !response.isComplete, "guards against a break that looks like the end");
    await waitUntil("the target sees its connection close", () => (target.closed > 0 ? true : null), 1000);
  });
}

// Guards against a response that broke off halfway and reaches the caller as a complete one, in each framing.
for (const [name, head, isReset] of [
  ["chunks without the last one", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", false],
  ["chunks that are reset", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", true],
  ["a length that is not reached", "content-length: 10\r\n\r\nhalf", false],
  ["a length that is reset", "content-length: 10\r\n\r\nhalf", true],
  ["no length, reset", "\r\nhalf", true],
] as const) {
  t.test(`a response that breaks off: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${head}`, () => {
        setTimeout(() => (isReset ? socket.resetAndDestroy() : socket.end()), 20);
      });
    });
    const route = { kind: RouteKind.NonIdempotent };
    const { call, stop } = await startGateway(createDocument(1, [route]), [target]);
    t.teardown(stop);
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.equal(response.status, 502);
    t.notMatch(response.body, /half/);
  });
}
