import { Agent } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { FallbackResponse } from "@clementinemux/gateway/FallbackResponse";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { resetSocket } from "@clementinemux/standins/net/resetSocket";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import { createDocument } from "../../routes/test/createDocument";
import { sendRaw } from "../../wire/test/helpers/sendRaw";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Only a hanging test takes this long.
t.setTimeout(90_000);

const { streamHead, chunk, event, streamEnd, whole } = responses;
const streaming = {
  ...{ kind: RouteKind.Streaming, canResume: false, attempts: 1 },
  ...{ timeoutMs: 5000, gapObjectiveMs: 120 },
};
const document = createDocument(1, [
  streaming,
  { ...streaming, canResume: true, attempts: 2 },
  { kind: RouteKind.Idempotent, attempts: 1, timeoutMs: 5000 },
]);
const post = { method: "POST", path: "/p0/x" };

function unframedHead(id: string, status = "200 OK", type = "text/event-stream"): string {
  return `HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-type: ${type}\r\n\r\n`;
}

function callRaw(port: number, line: string, headers = ""): Promise<string> {
  return sendRaw(port, `${line}\r\nhost: app.test\r\nx-id: r1\r\nx-key: key-a\r\n${headers}\r\n`);
}

// Guards against a stream without a length that was cut by a reset and looks complete (review/1).
t.test("a stream without a length whose target resets it is never complete", async (t) => {
  // With gaps up to 2 ms, resets arrive together with the last bytes.
  const gapsMs = [0, 1, 2, 5, 20];
  // Enough for the gateway to hold some back, to even out pauses, when the reset arrives.
  const sentEvents = [1, 2, 3, 4, 5, 6, 7, 8].map(event);
  let gapMs = 0;
  const target = new TestTarget(({ id }, socket) => {
    socket.setNoDelay(true);
    void (async () => {
      socket.write(unframedHead(id));
      for (const text of sentEvents) {
        socket.write(text);
        await delay(gapMs);
      }
      resetSocket(socket);
    })();
  });
  const { call, stop } = await startGateway(document, [target]);
  for (const gap of gapsMs) {
    gapMs = gap;
    const answers = await Promise.all(
      Array.from({ length: 4 }, async (_, at) => {
        await delay(at * 10);
        return call(post, `r${gap}-${at}`, "x").catch(() => null);
      }),
    );
    t.ok(
      answers.every((answer) => answer === null || answer.status === 502 || !answer.isComplete),
      `${gap} ms between the events`,
    );
    t.ok(
      answers.every((answer) => answer?.body === sentEvents.join("")),
      "what was sent before the break arrives",
    );
  }
  await stop();
});

// Guards against a stream that looks complete although its gateway was killed in the middle of it (review/2).
t.test("a stream without a length is cut visibly when its gateway ends", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(unframedHead(id) + event(1)));
  const { gateway, call, stop } = await startGateway(document, [target]);
  const answer = call(post, "r1", "x");
  await delay(300);
  gateway.close();
  const { body, isComplete } = await answer;
  t.same([body, isComplete], [event(1), false]);
  await stop();
});

t.test("a stream without a length ends with its connection, also when a reset follows", async (t) => {
  let end: (socket: Socket) => void = (socket) => socket.end();
  const target = new TestTarget(({ id }, socket) => {
    socket.write(unframedHead(id) + event(1) + event(2));
    setTimeout(() => {
      end(socket);
    }, 20);
  });
  const { call, stop } = await startGateway(document, [target]);
  t.match(await call(post, "r1", "x"), { status: 200, body: event(1) + event(2), isComplete: true });
  end = (socket) => {
    socket.end();
    setTimeout(resetSocket, 20, socket);
  };
  t.match(await call(post, "r2", "x"), { status: 200, body: event(1) + event(2), isComplete: true });
  await stop();
});

t.test("a stream may be resumed between targets that frame it differently", async (t) => {
  for (const isFirstFramed of [false, true]) {
    let sends = 0;
    const targets = [0, 1].map(
      () =>
        new TestTarget(({ id }, socket) => {
          sends += 1;
          const isFramed = (sends === 1) === isFirstFramed;
          const write = (text: string): boolean => socket.write(isFramed ? chunk(text) : text);
          socket.write(isFramed ? streamHead(id) : unframedHead(id));
          if (sends === 1) {
            write(event(1));
            setTimeout(resetSocket, 30, socket);
          } else {
            write(event(2));
            socket.end(isFramed ? streamEnd : "");
          }
        }),
    );
    const { call, stop } = await startGateway(document, targets);
    const answer = await call({ method: "POST", path: "/p1/x" }, "r1", "x");
    t.match(answer, { status: 200, body: event(1) + event(2), isComplete: true });
    await stop();
  }
});

// Guards against a cut stream that looks complete to a caller that knows no chunks, however its target framed it.
t.test("a caller of HTTP/1.0 gets a stream as a whole, or 502", async (t) => {
  for (const isFramed of [false, true]) {
    let isCut = false;
    const target = new TestTarget(({ id }, socket) => {
      const write = (text: string): boolean => socket.write(isFramed ? chunk(text) : text);
      socket.write(isFramed ? streamHead(id) : unframedHead(id));
      write(event(1));
      setTimeout(() => {
        if (isCut) {
          resetSocket(socket);
        } else {
          write(event(2));
          socket.end(isFramed ? streamEnd : "");
        }
      }, 30);
    });
    const { gateway, callerPort, stop } = await startGateway(document, [target]);
    const body = event(1) + event(2);
    const answer = await callRaw(callerPort, "POST /p0/x HTTP/1.0");
    t.match(answer, new RegExp(`content-length: ${body.length}\r\n`, "i"));
    t.ok(answer.endsWith(`\r\n\r\n${body}`), answer);
    isCut = true;
    t.match(await callRaw(callerPort, "POST /p0/x HTTP/1.0"), /^HTTP\/1\.1 502 /);
    t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
    await stop();
  }
});

// Guards against reading a stream until the timeout although its response can't be sent any more.
t.test("a caller of HTTP/1.0 gets 502 at once when its stream is too large", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(streamHead(id));
    const write = (): void => {
      while (!socket.destroyed && socket.write(chunk(`data: ${"x".repeat(60_000)}\n\n`))) {
        // Continues until the socket buffer is full.
      }
    };
    socket.on("drain", write);
    write();
  });
  const { gateway, callerPort, stop } = await startGateway(document, [target]);
  const startedMs = performance.now();
  t.match(await callRaw(callerPort, "POST /p0/x HTTP/1.0"), /^HTTP\/1\.1 502 .*too large for HTTP\/1\.0/s);
  t.ok(performance.now() - startedMs < streaming.timeoutMs / 2, "before the timeout");
  t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  await stop();
});

// Guards against failure responses that no limit counts while their requests are tried again.
t.test("a failure response counts while a retry may bring a better one, and gives way", async (t) => {
  const failure = "f".repeat(100_000);
  let sends = 0;
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        sends += 1;
        if (sends === 1) {
          socket.write(whole(id, failure, "500 Internal Server Error"));
        } else {
          setTimeout(() => socket.write(whole(id, "again", "500 Internal Server Error")), 300);
        }
      }),
  );
  const route = { kind: RouteKind.Idempotent, attempts: 2, timeoutMs: 5000 };
  const { gateway, call, stop } = await startGateway(createDocument(1, [route]), targets);
  const response = call(post, "r1", "x");
  await waitUntil("the failure counts", () =>
    Number(/_response_bytes (\d+)/.exec(gateway.renderMetrics())?.[1]) >= failure.length ? true : null,
  );
  t.match(await response, { status: 500, body: "again" });
  t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
  await stop();
  const pool = new PartialMessagePool(() => failure.length);
  const fallback = new FallbackResponse(pool);
  fallback.keep({ status: 500, headers: [], body: Buffer.from(failure) });
  pool.note({ drop: () => undefined }, 1);
  t.equal(fallback.response, null, "its memory was needed");
});

t.test("a caller that asks for the connection's end gets chunks and the end", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.end(unframedHead(id) + event(1)));
  const { callerPort, stop } = await startGateway(document, [target]);
  const answer = await callRaw(callerPort, "POST /p0/x HTTP/1.1", "connection: close\r\n");
  t.match(answer, /transfer-encoding: chunked\r\n/i);
  t.ok(answer.endsWith("\r\n0\r\n\r\n"), answer);
  await stop();
});

// Guards against a length that a response without a body must not have, or that is not the target's.
t.test("a response without a length gets one, unless it has no body", async (t) => {
  let answer: (id: string) => string = () => "";
  const target = new TestTarget(({ id }, socket) => socket.end(answer(id)));
  const { call, stop } = await startGateway(document, [target]);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const path = "/p2/x";
  answer = (id) => `${unframedHead(id, "200 OK", "text/plain")}text`;
  t.match(await call({ path, agent }, "r1"), {
    ...{ status: 200, body: "text", isComplete: true },
    headers: { "content-length": "4", connection: "keep-alive" },
  });
  for (const status of ["204 No Content", "304 Not Modified"]) {
    answer = (id) => unframedHead(id, status, "text/plain");
    const { headers, ...rest } = await call({ path, agent }, `r-${status.slice(0, 3)}`);
    t.match(rest, { status: Number(status.slice(0, 3)), body: "", isComplete: true });
    t.same([headers["content-length"], headers["transfer-encoding"]], [undefined, undefined], status);
  }
  answer = (id) => whole(id, "text").replace(/text$/, "");
  t.match(await call({ path, agent, method: "HEAD" }, "r4"), {
    ...{ status: 200, body: "", isComplete: true },
    headers: { "content-length": "4" },
  });
  answer = (id) => unframedHead(id, "200 OK", "text/plain");
  const head = await call({ path, agent, method: "HEAD" }, "r5");
  t.same([head.status, head.headers["content-length"]], [200, undefined]);
  t.match(await call({ path: "/p0/x", agent, method: "HEAD" }, "r6"), { status: 200, body: "" });
  agent.destroy();
  await stop();
});

// Guards against a break that loses what was written before it, or that a slow reader sees only at a time-out.
t.test("a slow reader gets what was written before the break, and then its end", async (t) => {
  const big = `id: 1\ndata: ${"x".repeat(200_000)}\n\n`;
  const target = new TestTarget(({ id }, socket) => {
    socket.write(unframedHead(id) + big);
    setTimeout(resetSocket, 200, socket);
  });
  const { open, stop } = await startGateway(document, [target]);
  const answer = await new Promise<{ size: number; isComplete: boolean; tookMs: number }>((resolve) => {
    const sent = open(post, "r1");
    sent.on("response", (response) => {
      let size = 0;
      response.on("error", () => undefined);
      setTimeout(() => {
        const startedMs = performance.now();
        response.on("data", (bytes: Buffer) => (size += bytes.length));
        response.on("close", () => {
          resolve({ size, isComplete: response.complete, tookMs: performance.now() - startedMs });
        });
      }, 400);
    });
    sent.end("x");
  });
  t.same([answer.size, answer.isComplete], [big.length, false]);
  t.ok(answer.tookMs < 900, `${answer.tookMs} ms`);
  await stop();
});
