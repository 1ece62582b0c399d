import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { fitLine } from "../fitLine";
import type { Slope } from "./Slope";

const callCounts = [1000, 2000, 4000, 8000] as const;
const connectionCount = 100;
const host = "127.0.0.1";
const repeats = 3;

/** Measures the processor time of heartbeat calls over loopback sockets, for caller and relay together. */
export async function measureRpc(): Promise<Slope[]> {
  const reply = { accepted: true, superseded: false, unknown: false };
  const server = new RpcServer({ handlers: { [MessageName.Heartbeat]: () => reply } });
  const port = await server.listen(host, 0);
  const clients = Array.from({ length: connectionCount }, () => new RpcClient({ address: { host, port } }));
  const run = async (count: number): Promise<number> => {
    const start = process.cpuUsage();
    for (let sent = 0; sent < count; sent += connectionCount) {
      const body = { target: `runner-${sent}`, incarnation: "01764800000000-1a2b3c4d" };
      await Promise.all(clients.map((client) => client.call(MessageName.Heartbeat, body, 5000)));
    }
    const { user, system } = process.cpuUsage(start);
    return (user + system) / 1000;
  };
  await run(2000);
  const points = [];
  for (const x of callCounts) {
    const times = [];
    for (let round = 0; round < repeats; round += 1) {
      times.push(await run(x));
    }
    points.push({ x, y: Math.min(...times) });
  }
  clients.forEach((client) => {
    client.close();
  });
  await server.close();
  return [{ name: "rpc.callCpuMs", unit: "ms/call, both ends together", points, ...fitLine(points) }];
}
