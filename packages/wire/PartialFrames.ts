import type { Socket } from "node:net";
import { wireLimits } from "./wireLimits";

/** Bounds the incomplete frames that all connections of a server hold together. */
export class PartialFrames {
  readonly #heldBytes = new Map<Socket, number>();
  #sumBytes = 0;

  /** Counts a connection until it closes. */
  add(socket: Socket): void {
    this.#heldBytes.set(socket, 0);
    socket.once("close", () => {
      this.#remove(socket);
    });
  }

  /** Notes what a connection holds. Above the limit, the connection that holds most is closed. */
  note(socket: Socket, heldBytes: number): void {
    const before = this.#heldBytes.get(socket);
    if (before === undefined || before === heldBytes) {
      return;
    }
    this.#heldBytes.set(socket, heldBytes);
    this.#sumBytes += heldBytes - before;
    if (this.#sumBytes > wireLimits.maxPartialBytes) {
      const largest = this.#findLargest();
      this.#remove(largest);
      largest.destroy();
    }
  }

  #findLargest(): Socket {
    return [...this.#heldBytes].reduce((one, other) => (other[1] > one[1] ? other : one))[0];
  }

  #remove(socket: Socket): void {
    this.#sumBytes -= this.#heldBytes.get(socket) ?? 0;
    this.#heldBytes.delete(socket);
  }
}
