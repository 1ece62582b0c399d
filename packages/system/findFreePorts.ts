import { createServer } from "node:net";
import type { Server } from "node:net";

const host = "127.0.0.1";
// Linux takes the ports of outgoing connections from 32768 on: a port that is free there now may be gone when a
// process starts to listen on it, and the peers of another fleet on the machine could then connect to it.
const firstPort = 10_000;
const blockSize = 200;
const blockCount = 110;

let nextBlock = process.pid % blockCount;
let ports: number[] = [];

/** Finds ports on loopback that nothing listens on. A process gets each port once, and no other process gets it. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const port = ports.shift();
    if (port === undefined) {
      ports = await takeBlock();
    } else if (await isFree(port)) {
      found.push(port);
    }
  }
  return found;
}

/** Takes a block of ports for this process: it listens on the first one as long as it runs. */
async function takeBlock(): Promise<number[]> {
  for (let tried = 0; tried < blockCount; tried += 1) {
    const first = firstPort + nextBlock * blockSize;
    nextBlock = (nextBlock + 1) % blockCount;
    const server = await listen(first);
    if (server !== null) {
      server.unref();
      return Array.from({ length: blockSize - 1 }, (_, index) => first + 1 + index);
    }
  }
  throw new Error("all blocks of ports are taken");
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server !== null) {
    await new Promise((resolve) => server.close(resolve));
  }
  return server !== null;
}

/** Resolves with null when the port is taken. */
function listen(port: number): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(null);
    });
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
