import { createServer } from "node:net";

const host = "127.0.0.1";
// Linux takes the ports of outgoing connections from 32768 on: a port that is free there now may be gone when a
// process starts to listen on it, and the peers of another fleet on the machine could then connect to it.
const firstPort = 10_000;
const portCount = 22_000;
/** Ports that processes with neighbouring process ids leave to each other. */
const blockSize = 200;

let nextOffset = (process.pid * blockSize) % portCount;

/** Finds ports on loopback that nothing listens on. A process gets each port once. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = firstPort + nextOffset;
    nextOffset = (nextOffset + 1) % portCount;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
