import type { Socket } from "node:net";
import { wireLimits } from "./wireLimits";

/**
 * Stops reading frames from one connection while its peer does not read its responses, or has too many calls in work. A
 * peer that reads nothing for too long is disconnected.
 */
export class FrameFlow {
  readonly #socket: Socket;
  #inWork = 0;
  #isPaused = false;
  #unreadTimer: NodeJS.Timeout | null = null;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("drain", () => {
      this.update();
    });
    socket.once("close", () => {
      clearTimeout(this.#unreadTimer ?? undefined);
    });
  }

  begin(): void {
    this.#inWork += 1;
  }

  end(): void {
    this.#inWork -= 1;
    this.update();
  }

  /** Pauses or resumes the connection as its state demands. */
  update(): void {
    const isUnread = this.#socket.writableLength > wireLimits.maxQueuedBytes;
    const isFull = isUnread || this.#inWork >= wireLimits.maxCallsInWork;
    if (this.#socket.destroyed || isFull === this.#isPaused) {
      return;
    }
    this.#isPaused = isFull;
    clearTimeout(this.#unreadTimer ?? undefined);
    if (!isFull) {
      this.#socket.resume();
      return;
    }
    this.#socket.pause();
    if (isUnread) {
      this.#unreadTimer = setTimeout(() => this.#socket.destroy(), wireLimits.unreadTimeoutMs);
      this.#unreadTimer.unref();
    }
  }
}
