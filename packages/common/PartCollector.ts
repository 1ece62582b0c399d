/** Joins the parts of one large value, which arrive in order; a part that was lost is sent again. Has no I/O. */
export class PartCollector {
  #key = "";
  #parts: Uint8Array[] = [];
  #receivedBytes = 0;

  /** Bytes of the current value received so far. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /**
   * Adds a part, and returns the value once it is complete, else null. A part of another value, or one at offset 0, starts
   * again; a part that does not continue the value is ignored.
   */
  add(key: string, offset: number, totalBytes: number, part: Uint8Array): Uint8Array | null {
    if (key !== this.#key || offset === 0) {
      this.clear();
      this.#key = key;
    }
    if (offset === this.#receivedBytes) {
      this.#parts.push(part);
      this.#receivedBytes += part.length;
    }
    if (this.#receivedBytes < totalBytes) {
      return null;
    }
    const value = joinParts(this.#parts, this.#receivedBytes);
    this.clear();
    return value;
  }

  clear(): void {
    this.#key = "";
    this.#parts = [];
    this.#receivedBytes = 0;
  }
}

function joinParts(parts: readonly Uint8Array[], sizeBytes: number): Uint8Array {
  const joined = new Uint8Array(sizeBytes);
  let offset = 0;
  for (const part of parts) {
    joined.set(part, offset);
    offset += part.length;
  }
  return joined;
}
