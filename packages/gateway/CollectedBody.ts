import type { ByteBudget } from "./ByteBudget";
import { ByteReservation } from "./ByteReservation";

/** Collects the body of a response whose length has to be known before its first byte is sent. */
export class CollectedBody {
  readonly #reservation: ByteReservation;
  #chunks: Buffer[] = [];
  #sizeBytes = 0;
  #isComplete = true;

  constructor(budget: ByteBudget) {
    this.#reservation = new ByteReservation(budget);
  }

  add(bytes: Buffer): void {
    this.#sizeBytes += bytes.length;
    if (this.#isComplete && this.#reservation.set(this.#sizeBytes)) {
      this.#chunks.push(bytes);
    } else {
      this.#isComplete = false;
      this.#chunks = [];
    }
  }

  /** Returns the body, or null if it exceeded the budget; frees its bytes. */
  take(): Buffer | null {
    const body = this.#isComplete ? Buffer.concat(this.#chunks) : null;
    this.release();
    return body;
  }

  release(): void {
    this.#chunks = [];
    this.#reservation.release();
  }
}
