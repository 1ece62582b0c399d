import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

const pollMs = 10;

/** TCP connection to loopback that collects the received text; the message of an error is appended to it. */
export class RawConnection {
  text = "";
  isClosed = false;
  readonly #socket: Socket;

  constructor(port: number) {
    this.#socket = connect(port, "127.0.0.1").setNoDelay(true);
    this.#socket.on("data", (chunk: Buffer) => (this.text += chunk.toString()));
    this.#socket.on("error", ({ message }) => (this.text += message));
    this.#socket.on("close", () => {
      this.isClosed = true;
    });
  }

  /** Opens connections to a server in this process; resolves when it has accepted them. */
  static async openAll(port: number, count: number): Promise<RawConnection[]> {
    const connections = Array.from({ length: count }, () => new RawConnection(port));
    await Promise.all(connections.map((connection) => once(connection.#socket, "connect")));
    await delay(pollMs);
    return connections;
  }

  send(text: string): void {
    this.#socket.write(text);
  }

  /** Resolves when the received text includes the part, or when the connection has closed. */
  async waitFor(part: string): Promise<void> {
    while (!this.isClosed && !this.text.includes(part)) {
      await delay(pollMs);
    }
  }

  async waitForClose(): Promise<void> {
    while (!this.isClosed) {
      await delay(pollMs);
    }
  }

  close(): void {
    this.#socket.destroy();
  }
}
