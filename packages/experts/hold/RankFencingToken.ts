import type { FencingTokens } from "./FencingTokens";

/** Fencing token of the orders that one leader sends to one rank. */
export class RankFencingToken {
  readonly #tokens: FencingTokens;
  #raised = 0;

  constructor(tokens: FencingTokens) {
    this.#tokens = tokens;
  }

  get value(): number {
    return Math.max(this.#raised, this.#tokens.floor);
  }

  /**
   * Call this after an order without a response. Once the rank accepts a later order, it rejects that one.
   */
  raise(): void {
    this.#raised = this.#tokens.allocateAfter(this.value);
  }
}
