import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";

/** Collects the body of a response whose length has to be known before its first byte is sent. */
export class CollectedBody {
  readonly #body = new BodyCollector();
  readonly #pool: PartialMessagePool;
  readonly #onTooLarge: () => void;
  #isTooLarge = false;

  /** `onTooLarge` is called once, when the body exceeds what the pool has room for. */
  constructor(pool: PartialMessagePool, onTooLarge: () => void) {
    this.#pool = pool;
    this.#onTooLarge = onTooLarge;
  }

  get isTooLarge(): boolean {
    return this.#isTooLarge;
  }

  add(bytes: Buffer): void {
    if (!this.#isTooLarge) {
      this.#body.add(bytes);
      this.#pool.note(this, this.#body.heldBytes);
    }
  }

  drop(): void {
    this.#isTooLarge = true;
    this.release();
    this.#onTooLarge();
  }

  /** Returns the body; frees its bytes. */
  take(): Buffer {
    const body = this.#body.take();
    this.release();
    return body;
  }

  release(): void {
    this.#body.clear();
    this.#pool.remove(this);
  }
}
