import { createServer } from "node:net";
import type { Server, Socket } from "node:net";

/** A request as received by a target. */
interface ReadRequest {
  readonly head: string;
  readonly id: string;
  readonly body: string;
}

type Script = (request: ReadRequest, socket: Socket) => void;

/** Target that responds to each request with the raw bytes of a script. */
export class TestTarget {
  readonly requests: ReadRequest[] = [];
  /** Number of connections that have closed. */
  closed = 0;
  script: Script;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(script: Script) {
    this.script = script;
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      let bytes = "";
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.closed += 1;
        this.#sockets.delete(socket);
      });
      socket.on("data", (chunk) => {
        bytes += chunk.toString("latin1");
        const end = bytes.indexOf("\r\n\r\n");
        const length = Number(/content-length: (\d+)/i.exec(bytes)?.[1] ?? 0);
        if (end >= 0 && bytes.length >= end + 4 + length) {
          const head = bytes.slice(0, end);
          const request = {
            head,
            id: /x-id: (\S+)/i.exec(head)?.[1] ?? "",
            body: bytes.slice(end + 4, end + 4 + length),
          };
          bytes = "";
          this.requests.push(request);
          this.script(request, socket);
        }
      });
    });
  }

  get address(): string {
    const bound = this.#server.address();
    return `127.0.0.1:${typeof bound === "object" ? (bound?.port ?? 0) : 0}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }
}
