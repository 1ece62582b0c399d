import type { FenceNumbers } from "./FenceNumbers";

/** Fencing number of the orders that one lead gives to one rank. */
export class RankFence {
  readonly #numbers: FenceNumbers;
  #raised = 0;

  constructor(numbers: FenceNumbers) {
    this.#numbers = numbers;
  }

  get number(): number {
    return Math.max(this.#raised, this.#numbers.floor);
  }

  /** To be called after an order without an answer: once the rank accepts another one, it refuses that order. */
  raise(): void {
    this.#raised = this.#numbers.raise(this.number);
  }
}
