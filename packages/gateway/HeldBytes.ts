import type { ByteBudget } from "./ByteBudget";

/** What one holder has taken of a budget; grows and shrinks with what is held, and is given back as a whole. */
export class HeldBytes {
  readonly #budget: ByteBudget;
  #bytes = 0;

  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /** Changes what is held. Returns false when the budget does not allow it; what was held before stays taken. */
  set(bytes: number): boolean {
    if (bytes > this.#bytes && !this.#budget.take(bytes - this.#bytes)) {
      return false;
    }
    if (bytes < this.#bytes) {
      this.#budget.release(this.#bytes - bytes);
    }
    this.#bytes = bytes;
    return true;
  }

  release(): void {
    this.set(0);
  }
}
