import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

const pollMs = 10;

/** A TCP connection to loopback that collects what it receives; the message of an error is added to the text. */
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

  /** Opens connections that the server of this process has accepted when the promise resolves. */
  static async openAll(port: number, count: number): Promise<RawConnection[]> {
    const connections = Array.from({ length: count }, () => new RawConnection(port));
    await Promise.all(connections.map((connection) => once(connection.#socket, "connect")));
    await delay(pollMs);
    return connections;
  }

  send(text: string): void {
    this.#socket.write(text);
  }

  /** Resolves when the part has been received or the connection has closed. */
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
