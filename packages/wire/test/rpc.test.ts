import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { createLogger } from "@clementinemux/logging/createLogger";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { FrameKind } from "@clementinemux/wire/FrameKind";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { encodeFrame } from "@clementinemux/wire/encodeFrame";
import { wireLimits } from "@clementinemux/wire/wireLimits";
import { FaultyProxy } from "./helpers/FaultyProxy";

const host = "127.0.0.1";
const handlers = { echo: (body: unknown) => body };

function waitForClose(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve();
    });
    socket.resume();
  });
}

// Guards against using an unresponsive connection for ever while new ones work.
t.test("unresponsive connection is replaced", async (t) => {
  const server = new RpcServer({ handlers });
  const proxy = new FaultyProxy(await server.listen(host, 0));
  const client = new RpcClient({ address: { host, port: await proxy.listen() } });
  t.ok((await client.call("echo", 1, 1000)).isRight());
  proxy.blackholeConnections();
  t.ok((await client.call("echo", 2, 50)).isLeft());
  t.ok((await client.call("echo", 3, 50)).isLeft());
  t.equal((await client.call("echo", 4, 1000)).extract(), 4);
  client.close();
  await proxy.close();
  await server.close();
});

// Guards against a peer that affects others by sending a frame too slowly, or one that is too large.
t.test("slow and oversized frames do not affect other clients", async (t) => {
  const codes: WireErrorCode[] = [];
  const server = new RpcServer({
    handlers,
    frameTimeoutMs: 50,
    onRefused: (_, __, code) => codes.push(code),
  });
  const port = await server.listen(host, 0);
  const client = new RpcClient({ address: { host, port } });
  t.equal((await client.call("echo", 1, 1000)).extract(), 1);
  const slow = connect({ host, port });
  slow.write(Buffer.from([0, 0, 1]));
  const long = connect({ host, port });
  const header = Buffer.alloc(wireLimits.headerBytes);
  header.writeUInt32BE(wireLimits.maxFrameBytes + 1);
  long.write(header);
  await Promise.all([waitForClose(slow), waitForClose(long)]);
  t.same(codes.sort(), [WireErrorCode.FrameIncomplete, WireErrorCode.FrameTooLarge]);
  t.equal((await client.call("echo", 2, 1000)).extract(), 2);
  client.close();
  await server.close();
});

// Guards against a call whose promise rejects, or whose timer remains, when its message is too large.
t.test("oversized message fails its call", async (t) => {
  const server = new RpcServer({ handlers });
  const client = new RpcClient({ address: { host, port: await server.listen(host, 0) } });
  const result = await client.call("echo", Buffer.alloc(wireLimits.maxFrameBytes), 1000);
  t.match(result.extract(), { code: WireErrorCode.FrameTooLarge });
  t.equal((await client.call("echo", 1, 1000)).extract(), 1);
  client.close();
  await server.close();
});

// Guards against message names that resolve to inherited properties of the handler table.
t.test("inherited names are not handlers", async (t) => {
  const server = new RpcServer({ handlers });
  const client = new RpcClient({ address: { host, port: await server.listen(host, 0) } });
  for (const name of ["constructor", "toString", "__proto__"]) {
    t.match((await client.call(name, {}, 1000)).extract(), { code: WireErrorCode.Remote });
  }
  client.close();
  await server.close();
});

// Guards against calls that a stopping process has read and does not answer.
t.test("a draining server answers what it has read and rejects the rest", async (t) => {
  let finish: () => void = () => undefined;
  const wait = (): Promise<string> =>
    new Promise((resolve) => {
      finish = () => {
        resolve("done");
      };
    });
  let notes = 0;
  const server = new RpcServer({ handlers: { wait, note: () => (notes += 1) } });
  const client = new RpcClient({ address: { host, port: await server.listen(host, 0) } });
  const running = client.call("wait", null, 2000);
  await delay(50);
  let isOver = false;
  const drained = server.drain(performance.now() + 2000).then(() => (isOver = true));
  await delay(50);
  t.match((await client.call("wait", null, 1000)).swap().extract(), { code: WireErrorCode.Stopping });
  client.notify("note", null);
  await delay(50);
  t.same([isOver, notes], [false, 1]);
  finish();
  t.equal((await running).extract(), "done");
  await drained;
  client.close();
  await server.close();
});

// Guards against frames that are handled before the files of a process are open, and connections that pile up meanwhile.
t.test("a reserved server rejects calls and lets go of closed connections until it is open", async (t) => {
  const logger = createLogger("test", {});
  const first = new RpcServer({ handlers });
  const port = await first.listen(host, 0);
  const server = new RpcServer({ handlers });
  const reserved = server.reserve(host, port, logger);
  await delay(150);
  await first.close();
  await reserved;
  const client = new RpcClient({ address: { host, port } });
  const early = await client.call("echo", 1, 1000);
  t.equal(early.swap().toMaybe().extractNullable()?.code, WireErrorCode.Stopping);
  client.close();
  await waitUntil("closed connections", () => (server.connections === 0 ? true : null), 2000);
  server.open();
  const later = new RpcClient({ address: { host, port } });
  t.equal((await later.call("echo", 2, 1000)).extract(), 2);
  later.close();
  await server.close();
});

/** Many small frames of one kind. */
function createFrames(kind: FrameKind): Buffer {
  const frame = encodeFrame({ kind, id: 999_999, name: "note", body: null });
  return Buffer.concat(Array.from({ length: 20_000 }, () => frame));
}

// Guards against a peer whose many small frames are all handled before any other connection is read.
t.test("many small frames are handled in turns", async (t) => {
  let handled = 0;
  let largestTurn = 0;
  const note = (): void => {
    handled += 1;
  };
  const server = new RpcServer({ handlers: { note } });
  const peer = connect({ host, port: await server.listen(host, 0) });
  peer.write(createFrames(FrameKind.Notify));
  for (let before = handled; handled < 20_000; before = handled) {
    await new Promise(setImmediate);
    largestTurn = Math.max(largestTurn, handled - before);
  }
  t.ok(largestTurn < 1000, `${largestTurn} frames were handled in one turn`);
  peer.destroy();
  await server.close();
});

// Guards against a faulty peer that keeps a client busy, and its connection in use, with responses to no call.
t.test("responses to no call end the connection", async (t) => {
  const peer = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.write(createFrames(FrameKind.Response));
  });
  await new Promise<void>((resolve) => peer.listen(0, host, resolve));
  const client = new RpcClient({ address: { host, port: (peer.address() as AddressInfo).port } });
  const error = (await client.call("echo", 1, 5000)).swap().extract() as { readonly code: WireErrorCode };
  t.equal(error.code, WireErrorCode.ConnectionClosed);
  client.close();
  peer.close();
});
