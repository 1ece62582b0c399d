import { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";

/** Part of the limit that incomplete responses may take together. */
const responseShare = 0.75;

/**
 * Limits the bytes of bodies and events that all requests of a process buffer together. Many endless uploads
 * or responses at once are then ended before the process runs out of memory.
 */
export class ByteBudget {
  /**
   * Responses of targets that are not complete, and incomplete events. They give way to all that is reserved, so that a
   * target whose responses have no end takes no room from requests.
   */
  readonly responses: PartialMessagePool;
  readonly #limitBytes: number;
  #reservedBytes = 0;
  #reclaim: () => boolean = () => false;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
    this.responses = new PartialMessagePool(() =>
      Math.min(limitBytes * responseShare, limitBytes - this.#reservedBytes),
    );
  }

  /** Bytes that are reserved or held by incomplete responses. */
  get usedBytes(): number {
    return this.#reservedBytes + this.responses.usedBytes;
  }

  /** Sets what frees bytes that are needed elsewhere; it returns whether it did. */
  setReclaimer(reclaim: () => boolean): void {
    this.#reclaim = reclaim;
  }

  /** Whether as many bytes are left within this share of the limit, beside all others that are reserved. */
  hasRoom(bytes: number, share: number): boolean {
    return this.#reservedBytes + bytes <= this.#limitBytes * share;
  }

  /** Reserves the bytes if all of them are available, maybe those of incomplete responses; returns whether it did. */
  reserve(bytes: number): boolean {
    if (bytes > this.#limitBytes) {
      return false;
    }
    while (this.usedBytes + bytes > this.#limitBytes) {
      if (!this.#reclaim() && !this.responses.dropLargest()) {
        return false;
      }
    }
    this.#reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}
