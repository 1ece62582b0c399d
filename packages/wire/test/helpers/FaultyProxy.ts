import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";

interface ProxiedConnection {
  readonly client: Socket;
  readonly upstream: Socket;
  isBlackholed: boolean;
}

/** TCP proxy on loopback whose connections a test can close, or keep open while their bytes are dropped. */
export class FaultyProxy {
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  #blackholesNew = false;
  #rejectsNew = false;
  /** Bytes forwarded in both directions. */
  forwardedBytes = 0;

  constructor(targetPort: number, targetHost = "127.0.0.1") {
    this.#server = createServer((client) => {
      if (this.#rejectsNew) {
        client.destroy();
        return;
      }
      const connection: ProxiedConnection = {
        client,
        upstream: connect({ port: targetPort, host: targetHost }),
        isBlackholed: this.#blackholesNew,
      };
      this.#connections.add(connection);
      this.#forward(connection, connection.client, connection.upstream);
      this.#forward(connection, connection.upstream, connection.client);
    });
  }

  get connectionCount(): number {
    return this.#connections.size;
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

  /** Existing connections stay open but their bytes are dropped; new ones work. */
  blackholeConnections(): void {
    for (const connection of this.#connections) {
      connection.isBlackholed = true;
    }
  }

  /** Existing and new connections are open but their bytes are dropped. */
  blackholeAll(): void {
    this.blackholeConnections();
    this.#blackholesNew = true;
  }

  /** Closes existing connections; new ones work. */
  closeConnections(): void {
    for (const { client, upstream } of this.#connections) {
      client.destroy();
      upstream.destroy();
    }
  }

  /** Closes existing connections, and new ones at once. */
  closeAll(): void {
    this.#rejectsNew = true;
    this.closeConnections();
  }

  /** New connections work again. */
  heal(): void {
    this.#rejectsNew = false;
    this.#blackholesNew = false;
  }

  close(): Promise<void> {
    this.closeAll();
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #forward(connection: ProxiedConnection, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on("data", (chunk: Buffer) => {
      if (!connection.isBlackholed) {
        this.forwardedBytes += chunk.length;
        to.write(chunk);
      }
    });
    from.on("error", () => from.destroy());
    from.on("close", () => {
      this.#connections.delete(connection);
      to.destroy();
    });
  }
}
