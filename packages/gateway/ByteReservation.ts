import type { ByteBudget } from "./ByteBudget";

/**
 * The bytes that one user has reserved of a budget; grows and shrinks with its buffer, and is released as a
 * whole.
 */
export class ByteReservation {
  readonly #budget: ByteBudget;
  #bytes = 0;

  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /**
   * Changes the size of the reservation. Returns false if the budget does not allow it; the reservation then
   * stays as it was.
   */
  set(bytes: number): boolean {
    if (bytes > this.#bytes && !this.#budget.reserve(bytes - this.#bytes)) {
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
