/** Much more than the heads that Node accepts. */
const maxDebtBytes = 65_536;
/** Framing bytes that one byte of a body pays for: a chunk of one byte has five. */
const paidPerBodyByte = 8;

/**
 * Compares the framing of a response with its body. Node's parser limits heads, but neither the line ends before one
 * nor the digits of a chunk size nor chunk extensions.
 */
export class FramingDebt {
  #debtBytes = 0;

  /** Counts received bytes, of which `bodyBytes` are of the body. Returns whether there is too much framing. */
  add(receivedBytes: number, bodyBytes: number): boolean {
    const framingBytes = receivedBytes - bodyBytes;
    this.#debtBytes = Math.max(0, this.#debtBytes + framingBytes - bodyBytes * paidPerBodyByte);
    return this.#debtBytes > maxDebtBytes;
  }
}
