/** A body, a frame or an event that is being received. */
interface PartialMessage {
  /** Ends the message, since the pool is full. */
  drop(): void;
}

/**
 * Bounds what all incomplete messages of one kind hold together, such as the uploads of a server or the responses of
 * targets. The largest one is dropped first.
 */
export class PartialMessagePool {
  readonly #getLimitBytes: () => number;
  readonly #heldBytes = new Map<PartialMessage, number>();
  #usedBytes = 0;

  constructor(getLimitBytes: () => number) {
    this.#getLimitBytes = getLimitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Number of incomplete messages. */
  get size(): number {
    return this.#heldBytes.size;
  }

  /** Bytes that all incomplete messages together may hold at present. */
  get limitBytes(): number {
    return this.#getLimitBytes();
  }

  /** Notes what a message holds. Drops the largest messages, maybe this one, until all others are within the limit. */
  note(message: PartialMessage, heldBytes: number): void {
    this.#usedBytes += heldBytes - (this.#heldBytes.get(message) ?? 0);
    this.#heldBytes.set(message, heldBytes);
    while (this.#usedBytes > this.#getLimitBytes() && this.dropLargest()) {
      // Continues until the rest is within the limit.
    }
  }

  /** Called when a message is complete or has ended. */
  remove(message: PartialMessage): void {
    this.#usedBytes -= this.#heldBytes.get(message) ?? 0;
    this.#heldBytes.delete(message);
  }

  /** Drops the oldest of the largest messages. Returns whether there was one. */
  dropLargest(): boolean {
    let largest: PartialMessage | null = null;
    let largestBytes = 0;
    for (const [message, heldBytes] of this.#heldBytes) {
      if (heldBytes > largestBytes) {
        largest = message;
        largestBytes = heldBytes;
      }
    }
    if (largest === null) {
      return false;
    }
    this.remove(largest);
    largest.drop();
    return true;
  }
}
