import type { FenceNumbers } from "./FenceNumbers";

/** Fencing token of the orders that one leader sends to one rank. */
export class RankFence {
  readonly #tokens: FenceNumbers;
  #raised = 0;

  constructor(tokens: FenceNumbers) {
    this.#tokens = tokens;
  }

  get number(): number {
    return Math.max(this.#raised, this.#tokens.floor);
  }

  /**
   * Call this after an order without a response. Once the rank accepts a later order, it rejects that one.
   */
  raise(): void {
    this.#raised = this.#tokens.raise(this.number);
  }
}
