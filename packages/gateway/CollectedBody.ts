import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";

/** Collects the body of a response whose length has to be known before its first byte is sent. */
export class CollectedBody {
  readonly #body = new BodyCollector();
  readonly #pool: PartialMessagePool;
  #isComplete = true;

  constructor(pool: PartialMessagePool) {
    this.#pool = pool;
  }

  add(bytes: Buffer): void {
    if (this.#isComplete) {
      this.#body.add(bytes);
      this.#pool.note(this, this.#body.heldBytes);
    }
  }

  /** The body exceeds what the pool has room for. */
  drop(): void {
    this.#isComplete = false;
    this.release();
  }

  /** Returns the body, or null if it exceeded the pool; frees its bytes. */
  take(): Buffer | null {
    const body = this.#isComplete ? this.#body.take() : null;
    this.release();
    return body;
  }

  release(): void {
    this.#body.clear();
    this.#pool.remove(this);
  }
}
