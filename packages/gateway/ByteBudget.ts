/**
 * Bytes of bodies and events that all requests of a process may hold together, so that many endless answers or uploads
 * at once end by themselves before they end the process.
 */
export class ByteBudget {
  readonly #limitBytes: number;
  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Takes bytes when all of them are there. */
  take(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.#limitBytes) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
