import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
}

/** TCP proxy on loopback whose connections a test can cut or silence. */
export class FaultyProxy {
  readonly #server: Server;
  readonly #links = new Set<Link>();
  #silentFromStart = false;
  #refusing = false;
  /** Bytes forwarded in both directions. */
  forwardedBytes = 0;

  constructor(targetPort: number, targetHost = "127.0.0.1") {
    this.#server = createServer((near) => {
      if (this.#refusing) {
        near.destroy();
        return;
      }
      const link: Link = {
        near,
        far: connect({ port: targetPort, host: targetHost }),
        silent: this.#silentFromStart,
      };
      this.#links.add(link);
      this.#join(link, link.near, link.far);
      this.#join(link, link.far, link.near);
    });
  }

  get connectionCount(): number {
    return this.#links.size;
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

  /** Present connections stay open but carry nothing; new ones work. */
  silenceConnections(): void {
    for (const link of this.#links) {
      link.silent = true;
    }
  }

  /** Present and new connections are open but carry nothing. */
  silenceAll(): void {
    this.silenceConnections();
    this.#silentFromStart = true;
  }

  /** Resets present connections; new ones work. */
  cutConnections(): void {
    for (const { near, far } of this.#links) {
      near.destroy();
      far.destroy();
    }
  }

  /** Resets present connections and closes new ones at once. */
  cutAll(): void {
    this.#refusing = true;
    this.cutConnections();
  }

  /** New connections work again. */
  heal(): void {
    this.#refusing = false;
    this.#silentFromStart = false;
  }

  close(): Promise<void> {
    this.cutAll();
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #join(link: Link, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on("data", (chunk: Buffer) => {
      if (!link.silent) {
        this.forwardedBytes += chunk.length;
        to.write(chunk);
      }
    });
    from.on("error", () => from.destroy());
    from.on("close", () => {
      this.#links.delete(link);
      to.destroy();
    });
  }
}
