import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import type { ByteBudget } from "./ByteBudget";
import { ByteReservation } from "./ByteReservation";

/** Collects the body of a response whose length has to be known before its first byte is sent. */
export class CollectedBody {
  readonly #body = new BodyCollector();
  readonly #reservation: ByteReservation;
  #isComplete = true;

  constructor(budget: ByteBudget) {
    this.#reservation = new ByteReservation(budget);
  }

  add(bytes: Buffer): void {
    if (!this.#isComplete) {
      return;
    }
    this.#body.add(bytes);
    if (!this.#reservation.set(this.#body.heldBytes)) {
      this.#isComplete = false;
      this.release();
    }
  }

  /** Returns the body, or null if it exceeded the budget; frees its bytes. */
  take(): Buffer | null {
    const body = this.#isComplete ? this.#body.take() : null;
    this.release();
    return body;
  }

  release(): void {
    this.#body.clear();
    this.#reservation.release();
  }
}
