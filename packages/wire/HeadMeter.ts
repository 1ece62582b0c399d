const lineFeed = 0x0a;
/** Characters of a line that limits don't count: a colon, a space and the line end. */
const uncountedLineBytes = 4;
/** The shortest line has four bytes, of which one is counted. */
const maxRawShare = 4;
/** Method and version, which aren't counted either, and the rest of the line that is being received. */
const slackBytes = 1024;
/** A parsed field is two strings and their places in a list. */
const fieldBytes = 128;

/** Measures the head of a request while it is incomplete, so that one that is too large is not read to its end. */
export class HeadMeter {
  #receivedBytes = 0;
  #lines = 0;

  get lines(): number {
    return this.#lines;
  }

  /** Estimated size of the memory that the head takes. */
  get heldBytes(): number {
    return this.#receivedBytes + this.#lines * fieldBytes;
  }

  add(bytes: Buffer): void {
    this.#receivedBytes += bytes.length;
    for (let at = bytes.indexOf(lineFeed); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
      this.#lines += 1;
    }
  }

  /** Whether the target, the names and the values together are certainly longer than this. */
  exceeds(maxBytes: number): boolean {
    const countedBytes = this.#receivedBytes - this.#lines * uncountedLineBytes;
    return countedBytes > maxBytes + slackBytes || this.#receivedBytes > maxRawShare * maxBytes + slackBytes;
  }

  reset(): void {
    this.#receivedBytes = 0;
    this.#lines = 0;
  }
}
