import type { Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";

interface ListenOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
}

/** Longest queue of connections that are not accepted yet. */
const backlog = 1024;
const retryMs = 100;
const logIntervalMs = 5000;

/**
 * Listens on an address. While another process has the port, as the predecessor of this one may during its stop, it waits
 * and tries again. Rejects with any other error.
 */
export async function listenWhenFree(server: Server, { host, port, logger }: ListenOptions): Promise<void> {
  const startedAtMs = performance.now();
  let loggedAtMs = -Infinity;
  while (!(await tryToListen(server, host, port))) {
    const nowMs = performance.now();
    if (nowMs - loggedAtMs >= logIntervalMs) {
      loggedAtMs = nowMs;
      const waitedMs = Math.round(nowMs - startedAtMs);
      logger.warn({ address: `${host}:${port}`, waitedMs }, "port is taken, waiting for it");
    }
    await delay(retryMs);
  }
  server.on("error", (error) => {
    logger.warn({ address: `${host}:${port}`, error: error.message }, "listening failed");
  });
}

/** Resolves with false when the port is taken. */
function tryToListen(server: Server, host: string, port: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const onListening = (): void => {
      server.off("error", onError);
      resolve(true);
    };
    const onError = (error: NodeJS.ErrnoException): void => {
      server.off("listening", onListening);
      if (error.code === "EADDRINUSE") {
        resolve(false);
      } else {
        reject(error);
      }
    };
    server.once("listening", onListening);
    server.once("error", onError);
    server.listen(port, host, backlog);
  });
}
