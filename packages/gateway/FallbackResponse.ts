import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import { estimateHeaderBytes } from "@clementinemux/wire/estimateHeaderBytes";
import type { FullResponse } from "./FullResponse";

/** Keeps a target's failure response while a retry may bring a better one. It is forgotten when its memory is needed. */
export class FallbackResponse {
  readonly #pool: PartialMessagePool;
  #response: FullResponse | null = null;

  constructor(pool: PartialMessagePool) {
    this.#pool = pool;
  }

  get response(): FullResponse | null {
    return this.#response;
  }

  keep(response: FullResponse): void {
    this.#response = response;
    this.#pool.note(this, response.body.length + estimateHeaderBytes(response.headers));
  }

  drop(): void {
    this.#response = null;
  }

  clear(): void {
    this.#response = null;
    this.#pool.remove(this);
  }
}
