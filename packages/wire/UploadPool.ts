/** A body or a frame that is being received. */
interface Upload {
  /** Ends the upload, since the pool is full. */
  drop(): void;
}

/** Bounds what all unfinished uploads of a server hold together: bodies or frames. The largest one is dropped first. */
export class UploadPool {
  readonly #limitBytes: number;
  readonly #heldBytes = new Map<Upload, number>();
  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Number of unfinished uploads. */
  get size(): number {
    return this.#heldBytes.size;
  }

  /** Notes what an upload holds. Drops the largest uploads, maybe this one, until all others are within the limit. */
  note(upload: Upload, heldBytes: number): void {
    this.#usedBytes += heldBytes - (this.#heldBytes.get(upload) ?? 0);
    this.#heldBytes.set(upload, heldBytes);
    while (this.#usedBytes > this.#limitBytes) {
      const largest = this.#findLargest();
      this.remove(largest);
      largest.drop();
    }
  }

  /** Called when an upload is complete or has ended. */
  remove(upload: Upload): void {
    this.#usedBytes -= this.#heldBytes.get(upload) ?? 0;
    this.#heldBytes.delete(upload);
  }

  /** The oldest of the largest uploads. */
  #findLargest(): Upload {
    return [...this.#heldBytes].reduce((one, other) => (other[1] > one[1] ? other : one))[0];
  }
}
