/** Framing beyond the share of the body; much more than the heads that Node accepts. */
const maxExcessBytes = 65_536;
/** A chunk of one byte has five bytes of framing. */
const framingBytesPerBodyByte = 8;

/**
 * Compares the framing of a response with its body. Node's parser limits heads, but neither the line ends before one
 * nor the digits of a chunk size nor chunk extensions.
 */
export class FramingLimit {
  #excessBytes = 0;

  /** Counts received bytes, of which `bodyBytes` are of the body. Returns whether there is too much framing. */
  add(receivedBytes: number, bodyBytes: number): boolean {
    const framingBytes = receivedBytes - bodyBytes;
    this.#excessBytes = Math.max(0, this.#excessBytes + framingBytes - bodyBytes * framingBytesPerBodyByte);
    return this.#excessBytes > maxExcessBytes;
  }
}
