import { createServer } from "node:net";
import type { Server, Socket } from "node:net";

interface EndlessTargetOptions {
  /** First bytes of the response to a request with the given head. */
  readonly first: (head: string) => string;
  /** Written repeatedly until the caller closes the connection. */
  readonly more: string;
  /** Time between two writes; 0 writes as fast as the caller reads. */
  readonly writeIntervalMs: number;
}

/** Raw TCP stand-in of a target whose responses never end. */
export class EndlessTarget {
  /** Connections on which a complete request head was received. */
  requestCount = 0;
  /** Connections that the other side has closed. */
  closedCount = 0;
  readonly #response: EndlessTargetOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #closedBytes = 0;

  constructor(response: EndlessTargetOptions) {
    this.#response = response;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Bytes passed to the kernel; the other side has read them, except for those in the socket buffers. */
  get sentBytes(): number {
    return [...this.#sockets].reduce((sum, socket) => sum + getSentBytes(socket), this.#closedBytes);
  }

  /** Resolves with the bound port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
      });
    });
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #accept(socket: Socket): void {
    let head = "";
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.closedCount += 1;
      this.#closedBytes += getSentBytes(socket);
      this.#sockets.delete(socket);
    });
    socket.on("data", (chunk: Buffer) => {
      const isHeadComplete = head.includes("\r\n\r\n");
      head += chunk.toString("latin1");
      if (!isHeadComplete && head.includes("\r\n\r\n")) {
        this.requestCount += 1;
        socket.write(this.#response.first(head));
        this.#writeMore(socket);
      }
    });
  }

  #writeMore(socket: Socket): void {
    const { more, writeIntervalMs } = this.#response;
    const write = (): void => {
      while (!socket.destroyed && socket.write(more) && writeIntervalMs === 0) {
        // Writes until the socket's buffer is full.
      }
    };
    if (writeIntervalMs === 0) {
      socket.on("drain", write);
      // Written later, so that the caller reads the first bytes separately and may take them for a complete
      // response.
      setTimeout(write, 20);
    } else {
      const timer = setInterval(write, writeIntervalMs);
      socket.once("close", () => {
        clearInterval(timer);
      });
    }
  }
}

function getSentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}
