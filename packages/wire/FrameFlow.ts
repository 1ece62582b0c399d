import type { Socket } from "node:net";
import type { TurnQueue } from "./TurnQueue";
import { wireLimits } from "./wireLimits";

/**
 * Stops reading frames from one connection while its peer does not read its responses, has too many calls in work, or
 * waits for its turn. A peer that reads nothing for too long is disconnected.
 */
export class FrameFlow {
  readonly #socket: Socket;
  #inWork = 0;
  #isWaitingForTurn = false;
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

  /** Whether nothing is read for the moment. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Reads no further frames before the next turn of the connection, so that others are read in between. */
  waitForTurn(turns: TurnQueue): void {
    this.#isWaitingForTurn = true;
    turns.add(() => {
      this.#isWaitingForTurn = false;
      this.update();
    });
  }

  /** Pauses or resumes the connection as its state demands. */
  update(): void {
    const isUnread = this.#socket.writableLength > wireLimits.maxQueuedBytes;
    const isFull = isUnread || this.#isWaitingForTurn || this.#inWork >= wireLimits.maxCallsInWork;
    if (this.#socket.destroyed) {
      return;
    }
    this.#limitUnread(isUnread);
    if (isFull !== this.#isPaused) {
      this.#isPaused = isFull;
      if (isFull) {
        this.#socket.pause();
      } else {
        this.#socket.resume();
      }
    }
  }

  /** Bounds the time for which the peer does not read, whatever else the connection is paused for. */
  #limitUnread(isUnread: boolean): void {
    if (!isUnread) {
      clearTimeout(this.#unreadTimer ?? undefined);
      this.#unreadTimer = null;
    } else if (this.#unreadTimer === null) {
      this.#unreadTimer = setTimeout(() => this.#socket.destroy(), wireLimits.unreadTimeoutMs);
      this.#unreadTimer.unref();
    }
  }
}
