const minBlockBytes = 1024;
const maxBlockBytes = 65_536;
/** Chunks of at least this size are kept; smaller ones are copied, as a chunk costs far more memory than one byte. */
const minKeptBytes = 16_384;
/** A kept chunk fills at least this part of its memory: it may be a small piece of a large read, all of which it holds. */
const minFilledShare = 0.5;
const noBytes = Buffer.alloc(0);

/** Collects the chunks of a body, in memory that grows with its bytes and not with the number of its chunks. */
export class BodyCollector {
  #parts: Buffer[] = [];
  #block: Buffer = noBytes;
  #blockUsedBytes = 0;
  #sizeBytes = 0;
  #heldBytes = 0;

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Size of the memory that is held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  add(chunk: Buffer): void {
    const isFirst = this.#sizeBytes === 0;
    const isLarge = isFirst || chunk.length >= minKeptBytes;
    this.#sizeBytes += chunk.length;
    if (isLarge && chunk.length >= chunk.buffer.byteLength * minFilledShare) {
      this.#endBlock();
      this.#parts.push(chunk);
      this.#heldBytes += chunk.buffer.byteLength;
    } else {
      this.#copy(chunk);
    }
  }

  /** Returns the body and forgets it. */
  take(): Buffer {
    this.#endBlock();
    const [only] = this.#parts;
    const body = only !== undefined && this.#parts.length === 1 ? only : Buffer.concat(this.#parts);
    this.clear();
    return body;
  }

  clear(): void {
    this.#parts = [];
    this.#block = noBytes;
    this.#blockUsedBytes = 0;
    this.#sizeBytes = 0;
    this.#heldBytes = 0;
  }

  #copy(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0) {
      if (this.#blockUsedBytes === this.#block.length) {
        this.#startBlock();
      }
      const copied = rest.copy(this.#block, this.#blockUsedBytes);
      this.#blockUsedBytes += copied;
      rest = rest.subarray(copied);
    }
  }

  #startBlock(): void {
    const sizeBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#block.length * 2));
    this.#endBlock();
    this.#block = Buffer.allocUnsafeSlow(sizeBytes);
    this.#heldBytes += sizeBytes;
  }

  #endBlock(): void {
    if (this.#blockUsedBytes > 0) {
      this.#parts.push(this.#block.subarray(0, this.#blockUsedBytes));
    }
    this.#block = noBytes;
    this.#blockUsedBytes = 0;
  }
}
