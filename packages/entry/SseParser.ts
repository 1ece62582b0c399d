/**
 * Splits the bytes of a server-sent event stream into events. Bytes are kept as latin1 text, which preserves
 * every byte, so that a UTF-8 sequence or an event split across chunks is reassembled unchanged.
 */
export class SseParser {
  readonly #maxEventBytes: number;
  #buffer = "";

  constructor(maxEventBytes: number) {
    this.#maxEventBytes = maxEventBytes;
  }

  /**
   * Returns the events completed by a chunk, without blank lines. Throws a RangeError on too large an event.
   */
  push(chunk: Buffer): string[] {
    let text = this.#buffer + chunk.toString("latin1");
    let bufferedReturn = "";
    if (text.includes("\r")) {
      // The line feed that belongs to a trailing carriage return may be in the next chunk.
      bufferedReturn = text.endsWith("\r") ? "\r" : "";
      text = text.slice(0, text.length - bufferedReturn.length).replaceAll(/\r\n?/g, "\n");
    }
    const events: string[] = [];
    let start = 0;
    for (let end = text.indexOf("\n\n"); end !== -1; end = text.indexOf("\n\n", start)) {
      events.push(text.slice(start, end));
      start = end + 2;
    }
    this.#buffer = (start === 0 ? text : text.slice(start)) + bufferedReturn;
    if (this.#buffer.length > this.#maxEventBytes) {
      throw new RangeError(`event is larger than ${this.#maxEventBytes} bytes`);
    }
    return events;
  }
}
