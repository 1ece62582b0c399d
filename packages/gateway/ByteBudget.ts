/**
 * Limits the bytes of bodies and events that all requests of a process buffer together. Many endless uploads
 * or responses at once are then ended before the process runs out of memory.
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

  /** Reserves the bytes if all of them are available; returns whether it did. */
  reserve(bytes: number): boolean {
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
