import { BodyCollector } from "@clementinemux/wire/BodyCollector";

/**
 * Splits the bytes of a server-sent event stream into events. Bytes are handled as latin1 text, which preserves every
 * byte, so that a UTF-8 sequence or an event split across chunks is reassembled unchanged. Each byte is searched once,
 * and an incomplete event takes memory by its bytes, however small the chunks are.
 */
export class SseParser {
  readonly #maxEventBytes: number;
  /** The incomplete event, with line feeds as line ends. */
  readonly #partial = new BodyCollector();
  #endsWithLineFeed = false;
  #endsWithReturn = false;

  constructor(maxEventBytes: number) {
    this.#maxEventBytes = maxEventBytes;
  }

  /**
   * Returns the events completed by a chunk, without blank lines. Throws a RangeError on too large an event.
   */
  push(chunk: Buffer): string[] {
    const text = this.#normalizeLineEnds(chunk.toString("latin1"));
    const events: string[] = [];
    let start = 0;
    if (this.#endsWithLineFeed && text.startsWith("\n")) {
      events.push(this.#takePartial().slice(0, -1));
      start = 1;
    }
    for (let end = text.indexOf("\n\n", start); end !== -1; end = text.indexOf("\n\n", start)) {
      const rest = text.slice(start, end);
      events.push(this.#partial.sizeBytes === 0 ? rest : this.#takePartial() + rest);
      start = end + 2;
    }
    this.#keep(start === 0 ? text : text.slice(start));
    if (this.#partial.sizeBytes > this.#maxEventBytes) {
      throw new RangeError(`event is larger than ${this.#maxEventBytes} bytes`);
    }
    return events;
  }

  /** Replaces each line end by a line feed. One of two characters may be split between chunks. */
  #normalizeLineEnds(text: string): string {
    if (text === "" || (!this.#endsWithReturn && !text.includes("\r"))) {
      return text;
    }
    const rest = this.#endsWithReturn && text.startsWith("\n") ? text.slice(1) : text;
    this.#endsWithReturn = text.endsWith("\r");
    return rest.replaceAll(/\r\n?/g, "\n");
  }

  #keep(rest: string): void {
    if (rest !== "") {
      this.#partial.add(Buffer.from(rest, "latin1"));
      this.#endsWithLineFeed = rest.endsWith("\n");
    }
  }

  #takePartial(): string {
    this.#endsWithLineFeed = false;
    return this.#partial.take().toString("latin1");
  }
}
