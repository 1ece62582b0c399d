import type { ServerResponse } from "node:http";
import type { ByteBudget } from "./ByteBudget";

interface UnreadResponse {
  readonly bytes: number;
  readonly atMs: number;
}

/** Time after which a caller that has not read its whole response counts as one that does not read. */
const unreadMs = 1000;

/** Accounts for complete responses until their callers have read them. The oldest unread ones give way to others. */
export class UnreadResponses {
  readonly #budget: ByteBudget;
  readonly #nowMs: () => number;
  readonly #onDropped: () => void;
  readonly #responses = new Map<ServerResponse, UnreadResponse>();

  constructor(budget: ByteBudget, nowMs: () => number, onDropped: () => void) {
    this.#budget = budget;
    this.#nowMs = nowMs;
    this.#onDropped = onDropped;
    budget.setReclaimer(() => this.#dropOldest());
  }

  get size(): number {
    return this.#responses.size;
  }

  /** Called just after the last byte was written. A response for which the budget has no room is sent all the same. */
  add(response: ServerResponse, bytes: number): void {
    if (response.writableFinished || !this.#budget.reserve(bytes)) {
      return;
    }
    this.#responses.set(response, { bytes, atMs: this.#nowMs() });
    response.once("close", () => {
      this.#remove(response);
    });
  }

  /** Closes the connection of the caller that has not read for longest. Returns whether there was one. */
  #dropOldest(): boolean {
    const [oldest] = this.#responses;
    if (oldest === undefined || this.#nowMs() - oldest[1].atMs < unreadMs) {
      return false;
    }
    const [response] = oldest;
    this.#remove(response);
    this.#onDropped();
    response.destroy();
    return true;
  }

  #remove(response: ServerResponse): void {
    const unread = this.#responses.get(response);
    if (unread !== undefined) {
      this.#responses.delete(response);
      this.#budget.release(unread.bytes);
    }
  }
}
