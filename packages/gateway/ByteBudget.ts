/**
 * Limits the bytes of bodies and events that all requests of a process buffer together. Many endless uploads
 * or responses at once are then ended before the process runs out of memory.
 */
export class ByteBudget {
  readonly #limitBytes: number;
  #usedBytes = 0;
  #reclaim: () => boolean = () => false;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Sets what frees bytes that are needed elsewhere; it returns whether it did. */
  setReclaimer(reclaim: () => boolean): void {
    this.#reclaim = reclaim;
  }

  /** Whether as many bytes are left within this share of the limit. */
  hasRoom(bytes: number, share: number): boolean {
    return this.#usedBytes + bytes <= this.#limitBytes * share;
  }

  /** Reserves the bytes if all of them are available; returns whether it did. */
  reserve(bytes: number): boolean {
    if (bytes > this.#limitBytes) {
      return false;
    }
    while (this.#usedBytes + bytes > this.#limitBytes) {
      if (!this.#reclaim()) {
        return false;
      }
    }
    this.#usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
