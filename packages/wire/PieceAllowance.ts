import { TokenBucket } from "@clementinemux/common/TokenBucket";

/** The bytes of a larger piece outweigh its objects, so that limits for bytes cover its memory. */
const smallPieceBytes = 256;
/** Of one response. A working engine sends tens of events per second. */
const defaultBurst = 4096;
const defaultPerS = 1000;

/**
 * Limits the number of small pieces, as each costs memory and processor time whatever its size. Pure: the caller passes
 * the current time. Starts with the whole burst.
 */
export class PieceAllowance {
  readonly #bucket: TokenBucket;

  constructor(burst = defaultBurst, perSecond = defaultPerS) {
    this.#bucket = new TokenBucket(perSecond, burst, Number.NEGATIVE_INFINITY);
  }

  /** Takes one for a small piece and none for another; false if none is available. */
  takePiece(sizeBytes: number, nowMs: number): boolean {
    return sizeBytes >= smallPieceBytes || this.take(1, nowMs);
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
