import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { HttpGate } from "@clementinemux/wire/HttpGate";
import { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";

const workMs = 3;
const chunked = "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const pipeline = [
  "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
  "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nab\r\n\r\ncd",
  `${chunked}4\r\n\r\n\r\n\r\n2\r\nef\r\n0\r\n\r\n`,
  `${chunked}${"1\r\nx\r\n".repeat(1000)}0\r\nTrailer: a\r\n\r\n`,
  "GET /5 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
].join("");
const bodies = ["", "ab\r\n\r\ncd", "\r\n\r\nef", "x".repeat(1000), ""];

/** Starts a server that answers each request after a while, and counts those in work at the same time. */
async function serve(t: Test, maxConnections = 10) {
  const state = { inWork: 0, most: 0, bodies: [] as string[], closed: [] as ConnectionCloseReason[] };
  const server = createServer((request, response) => {
    state.inWork += 1;
    state.most = Math.max(state.most, state.inWork);
    let body = "";
    request.on("data", (chunk: Buffer) => (body += chunk.toString()));
    request.on("end", () => {
      state.bodies.push(body);
      setTimeout(() => {
        state.inWork -= 1;
        response.end("ok");
      }, workMs);
    });
  });
  const onClosed = (reason: ConnectionCloseReason): void => void state.closed.push(reason);
  new HttpGate(server, { maxConnections, getIdleTimeoutMs: () => 1000, onClosed });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return { state, port: (server.address() as AddressInfo).port };
}

/** Sends the parts, and resolves with the number of responses when the server has closed the connection. */
async function send(port: number, parts: readonly string[]): Promise<number> {
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true, noDelay: true });
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  const ended = new Promise((resolve) => socket.on("end", resolve));
  for (const part of parts) {
    socket.write(part);
    await delay(1);
  }
  await ended;
  socket.destroy();
  return text.split("HTTP/1.1 200").length - 1;
}

// Guards against requests that are lost, merged or run together when several come over one connection.
t.test("pipelined requests are run one at a time, wherever the bytes are split", async (t) => {
  const { state, port } = await serve(t);
  const end = pipeline.indexOf("1\r\nx\r\n");
  const cuts = [
    ...Array.from({ length: end }, (_, index) => index),
    pipeline.length - 60,
    pipeline.length - 5,
  ];
  for (const cut of cuts) {
    state.bodies = [];
    t.equal(await send(port, [pipeline.slice(0, cut), pipeline.slice(cut)]), bodies.length, `cut at ${cut}`);
    t.same(state.bodies, bodies);
  }
  t.equal(state.most, 1);
});

// Guards against new callers that are kept out by connections on which nothing is asked.
t.test("beyond the limit, connections without a request are closed first", async (t) => {
  const { state, port } = await serve(t, 3);
  const idle = Array.from({ length: 6 }, () => connect(port, "127.0.0.1").on("error", () => undefined));
  await delay(50);
  t.equal(await send(port, ["GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"]), 1);
  t.same([...new Set(state.closed)], [ConnectionCloseReason.TooMany]);
  for (const socket of idle) {
    socket.destroy();
  }
});

// Guards against new callers that are kept out by uploads that never end.
t.test("beyond the limit, the oldest unfinished upload is closed", async (t) => {
  const { state, port } = await serve(t, 3);
  const uploads = Array.from({ length: 3 }, () => {
    const socket = connect(port, "127.0.0.1").on("error", () => undefined);
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
    return socket;
  });
  await delay(50);
  t.equal(await send(port, ["GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"]), 1);
  t.same(state.closed, [ConnectionCloseReason.TooMany]);
  for (const socket of uploads) {
    socket.destroy();
  }
});

// Guards against requests that Node answers itself, without an event, so that a crowd of them is parsed at once.
for (const [name, head] of [
  ["without a host", "GET / HTTP/1.1\r\n\r\n"],
  ["with an unknown expectation", "GET / HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n"],
] as const) {
  t.test(`pipelined requests ${name} end their connection`, async (t) => {
    const { port } = await serve(t);
    const socket = connect(port, "127.0.0.1").on("error", () => undefined);
    let text = "";
    socket.on("data", (chunk) => (text += chunk.toString()));
    socket.write(head.repeat(1000));
    await new Promise((resolve) => socket.on("close", resolve));
    t.match(text, /^HTTP\/1.1 4/);
    t.equal(text.split("HTTP/1.1").length - 1, 1, "responses");
    t.equal(await send(port, ["GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"]), 1);
  });
}

// Guards against an upload that stands still and holds its connection for good.
t.test("a body without progress gets 408", async (t) => {
  const { state, port } = await serve(t);
  const socket = connect(port, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
  await new Promise((resolve) => socket.on("close", resolve));
  t.match(text, /^HTTP\/1.1 408 /);
  t.same(state.closed, [ConnectionCloseReason.StalledBody]);
});

// Guards against bodies whose chunks cost more memory than the budget sees.
t.test("a collected body is complete and is counted by its memory", (t) => {
  const body = new BodyCollector();
  const singles = Array.from({ length: 3000 }, () => "b");
  const chunks = ["a".repeat(20_000), ...singles, "c".repeat(20_000), "d"];
  for (const chunk of chunks) {
    body.add(Buffer.from(chunk));
  }
  t.ok(body.heldBytes >= body.sizeBytes && body.heldBytes < body.sizeBytes + 8192, `${body.heldBytes}`);
  t.equal(body.take().toString(), chunks.join(""));
  t.equal(body.heldBytes, 0);
  t.end();
});

// Guards against a byte that is counted as one, and keeps the read of 64 KB that it came in.
t.test("a collected body keeps no large read for a small chunk", (t) => {
  const body = new BodyCollector();
  const read = Buffer.alloc(65_536, "a");
  body.add(read.subarray(0, 1));
  t.ok(body.heldBytes < 2048, `${body.heldBytes}`);
  read.fill("b");
  body.add(read.subarray(0, 40_000));
  t.ok(body.heldBytes > read.length, "a kept chunk counts with its memory");
  t.equal(body.take().toString(), `a${"b".repeat(40_000)}`);
  t.end();
});

// Guards against small uploads that are dropped for the sake of large ones.
t.test("the largest upload is dropped first", (t) => {
  const pool = new PartialMessagePool(() => 100);
  const dropped: string[] = [];
  const [small, large] = ["small", "large"].map((name) => ({ drop: () => void dropped.push(name) }));
  pool.note(large!, 80);
  pool.note(small!, 15);
  pool.note(small!, 30);
  t.same(dropped, ["large"]);
  t.equal(pool.usedBytes, 30);
  t.end();
});
