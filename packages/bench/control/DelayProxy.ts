import { performance } from "node:perf_hooks";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";

interface DelayedChunk {
  readonly dueMs: number;
  readonly to: Socket;
  readonly chunk: Buffer;
}

const host = "127.0.0.1";

/** TCP proxy to a local port that delays every chunk by a fixed time in each direction. */
export class DelayProxy {
  readonly #targetPort: number;
  readonly #delayMs: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #delayedChunks: DelayedChunk[] = [];
  #isRunning = false;

  constructor(targetPort: number, delayMs: number) {
    this.#targetPort = targetPort;
    this.#delayMs = delayMs;
    this.#server = createServer((socket) => {
      this.#forward(socket);
    });
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#server.close();
  }

  #forward(inner: Socket): void {
    const outer = connect(this.#targetPort, host);
    for (const [from, to] of [
      [inner, outer],
      [outer, inner],
    ] as const) {
      this.#sockets.add(from);
      from.setNoDelay(true);
      from.on("data", (chunk: Buffer) => {
        this.#delayedChunks.push({ dueMs: performance.now() + this.#delayMs, to, chunk });
        this.#startFlush();
      });
      from.on("error", () => to.destroy());
      from.on("close", () => {
        this.#sockets.delete(from);
        to.destroy();
      });
    }
  }

  /**
   * Polls while chunks are queued, because the 1 ms resolution of timers is too coarse for delays of 1.5 ms.
   */
  #startFlush(): void {
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    const step = (): void => {
      const nowMs = performance.now();
      for (
        let first = this.#delayedChunks[0];
        first !== undefined && first.dueMs <= nowMs;
        first = this.#delayedChunks[0]
      ) {
        this.#delayedChunks.shift();
        if (!first.to.destroyed) {
          first.to.write(first.chunk);
        }
      }
      if (this.#delayedChunks.length > 0) {
        setImmediate(step);
      } else {
        this.#isRunning = false;
      }
    };
    setImmediate(step);
  }
}
