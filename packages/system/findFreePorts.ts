import { createServer } from "node:net";
import type { Server } from "node:net";

const host = "127.0.0.1";

/** Finds ports on loopback that no other process uses now. All are held at once, so that they differ. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(servers.map(listen));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
    });
  });
}
