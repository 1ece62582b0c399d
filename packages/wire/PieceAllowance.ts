import { TokenBucket } from "@clementinemux/common/TokenBucket";

/** The bytes of a piece of this size outweigh its objects, so limits for bytes cover it. */
const freePieceBytes = 256;

/**
 * Limits the number of small pieces, as each costs memory and processor time whatever its size. Pure: the caller passes
 * the current time. Starts with the whole burst.
 */
export class PieceAllowance {
  readonly #bucket: TokenBucket;

  constructor(burst: number, perSecond: number) {
    this.#bucket = new TokenBucket(perSecond, burst, Number.NEGATIVE_INFINITY);
  }

  static isSmall(sizeBytes: number): boolean {
    return sizeBytes < freePieceBytes;
  }

  /** Takes one for a small piece and none for another; false if none is available. */
  takePiece(sizeBytes: number, nowMs: number): boolean {
    return !PieceAllowance.isSmall(sizeBytes) || this.take(1, nowMs);
  }

  /** Takes all or nothing; false if that many are not available. More than the burst are available when it is full. */
  take(count: number, nowMs: number): boolean {
    const canTake = this.#bucket.canTake(count, nowMs);
    if (canTake) {
      this.#bucket.take(count, nowMs);
    }
    return canTake;
  }

  /** Time until `take(count)` succeeds; 0 if it would now. */
  getWaitMs(count: number, nowMs: number): number {
    return this.#bucket.getWaitMs(count, nowMs);
  }
}
