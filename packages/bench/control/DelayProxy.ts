import { performance } from "node:perf_hooks";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";

interface HeldChunk {
  readonly dueMs: number;
  readonly to: Socket;
  readonly chunk: Buffer;
}

const host = "127.0.0.1";

/** Forwards connections to a local port and delays every chunk by a fixed time in each direction. */
export class DelayProxy {
  readonly #targetPort: number;
  readonly #delayMs: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #held: HeldChunk[] = [];
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
        this.#held.push({ dueMs: performance.now() + this.#delayMs, to, chunk });
        this.#release();
      });
      from.on("error", () => to.destroy());
      from.on("close", () => {
        this.#sockets.delete(from);
        to.destroy();
      });
    }
  }

  /** Polls while chunks wait: timers have a resolution of 1 ms, which is too coarse for delays of 1.5 ms. */
  #release(): void {
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    const step = (): void => {
      const nowMs = performance.now();
      for (let first = this.#held[0]; first !== undefined && first.dueMs <= nowMs; first = this.#held[0]) {
        this.#held.shift();
        if (!first.to.destroyed) {
          first.to.write(first.chunk);
        }
      }
      if (this.#held.length > 0) {
        setImmediate(step);
      } else {
        this.#isRunning = false;
      }
    };
    setImmediate(step);
  }
}
