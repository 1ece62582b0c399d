import { connect } from "node:net";
import type { Socket } from "node:net";
import t from "tap";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
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
