import type { Server, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { acceptPending } from "./acceptPending";

/** Time in which calls that are on their way over kept connections arrive and are answered. */
const keptConnectionsMs = 250;
/** Time for connections on which a call was only partly read when the server stopped listening. */
const lingerMs = 150;
const pollMs = 10;

/** Lets an HTTP server stop once it has answered the calls that it has read. */
export class HttpDrain {
  readonly #server: Server;
  #calls = 0;
  #connections = 0;
  #isDraining = false;

  constructor(server: Server) {
    this.#server = server;
    server.on("connection", (socket) => {
      this.#connections += 1;
      socket.once("close", () => {
        this.#connections -= 1;
      });
    });
  }

  /** Counts a call that was read as a whole until its response has ended. Called before the response starts. */
  track(response: ServerResponse): void {
    this.#calls += 1;
    response.once("close", () => {
      this.#calls -= 1;
    });
    if (this.#isDraining) {
      response.setHeader("Connection", "close");
    }
  }

  /**
   * Answers what comes over kept connections for a moment, stops listening, and resolves when all calls that were read are
   * answered; at `endAtMs` of `performance.now()` in any case.
   */
  async drain(endAtMs: number): Promise<void> {
    this.#isDraining = true;
    await delay(keptConnectionsMs);
    await acceptPending(this.#server);
    // Closes idle connections, too.
    this.#server.close();
    const lingerEndMs = performance.now() + lingerMs;
    const isDone = (nowMs: number): boolean =>
      this.#calls === 0 && (this.#connections === 0 || nowMs >= lingerEndMs);
    while (!isDone(performance.now()) && performance.now() < endAtMs) {
      await delay(pollMs);
    }
  }
}
