import { createServer } from "node:net";
import type { Server } from "node:net";

const host = "127.0.0.1";
// Linux assigns ports from 32768 on to outgoing connections: such a port may be in use by the time a process
// listens on it, and processes of another fleet on this machine could connect to it.
const firstPort = 10_000;
const blockSize = 200;
const blockCount = 110;

let nextBlock = process.pid % blockCount;
let ports: number[] = [];

/**
 * Finds free ports on loopback. A process gets each port only once, and no two processes get the same port.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const port = ports.shift();
    if (port === undefined) {
      ports = await reserveBlock();
    } else if (await isFree(port)) {
      found.push(port);
    }
  }
  return found;
}

/** Reserves a block of ports for this process, which listens on the first one as long as it runs. */
async function reserveBlock(): Promise<number[]> {
  for (let attempt = 0; attempt < blockCount; attempt += 1) {
    const first = firstPort + nextBlock * blockSize;
    nextBlock = (nextBlock + 1) % blockCount;
    const server = await listen(first);
    if (server !== null) {
      server.unref();
      return Array.from({ length: blockSize - 1 }, (_, index) => first + 1 + index);
    }
  }
  throw new Error("all blocks of ports are in use");
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server !== null) {
    await new Promise((resolve) => server.close(resolve));
  }
  return server !== null;
}

/** Resolves with null when the port is in use. */
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
