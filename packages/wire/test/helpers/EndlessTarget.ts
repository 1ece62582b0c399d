import { createServer } from "node:net";
import type { Server, Socket } from "node:net";

interface EndlessAnswer {
  /** Bytes that begin the answer to a request with the given head. */
  readonly first: (head: string) => string;
  /** Written again and again until the caller closes the connection. */
  readonly more: string;
  /** Time between two writes; 0 writes as fast as the caller reads. */
  readonly pauseMs: number;
}

/** Raw TCP stand-in of a target whose answers go on without an end. */
export class EndlessTarget {
  /** Connections on which a request has arrived. */
  answered = 0;
  /** Connections that the other side has closed. */
  closed = 0;
  readonly #answer: EndlessAnswer;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #closedBytes = 0;

  constructor(answer: EndlessAnswer) {
    this.#answer = answer;
    this.#server = createServer((socket) => {
      this.#take(socket);
    });
  }

  /** Bytes that the kernel has taken; the other side has read these but for what its sockets hold. */
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

  #take(socket: Socket): void {
    let head = "";
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.closed += 1;
      this.#closedBytes += getSentBytes(socket);
      this.#sockets.delete(socket);
    });
    socket.on("data", (chunk: Buffer) => {
      const isWhole = head.includes("\r\n\r\n");
      head += chunk.toString("latin1");
      if (!isWhole && head.includes("\r\n\r\n")) {
        this.answered += 1;
        socket.write(this.#answer.first(head));
        this.#writeMore(socket);
      }
    });
  }

  #writeMore(socket: Socket): void {
    const { more, pauseMs } = this.#answer;
    const write = (): void => {
      while (!socket.destroyed && socket.write(more) && pauseMs === 0) {
        // Goes on until the connection is full.
      }
    };
    if (pauseMs === 0) {
      socket.on("drain", write);
      // A caller that has read the first bytes separately may take them for the whole answer.
      setTimeout(write, 20);
    } else {
      const timer = setInterval(write, pauseMs);
      socket.once("close", () => {
        clearInterval(timer);
      });
    }
  }
}

function getSentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}
