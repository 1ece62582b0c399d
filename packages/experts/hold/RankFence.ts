import type { FenceNumbers } from "./FenceNumbers";

/** Fencing token of the orders that one leader sends to one rank. */
export class RankFence {
  readonly #numbers: FenceNumbers;
  #raised = 0;

  constructor(numbers: FenceNumbers) {
    this.#numbers = numbers;
  }

  get number(): number {
    return Math.max(this.#raised, this.#numbers.floor);
  }

  /**
   * Call this after an order without a response. Once the rank accepts a later order, it rejects that one.
   */
  raise(): void {
    this.#raised = this.#numbers.raise(this.number);
  }
}
