import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import type { RelayedEvent } from "./RelayedEvent";

const lineFeed = 10;
const carriageReturn = 13;
const noBytes = Buffer.alloc(0);

/** What the bytes scanned last may be part of: the blank line that ends an event. */
enum LineEnd {
  None,
  LineFeed,
  /** A line feed and a carriage return. */
  LineFeedReturn,
}

/**
 * Splits the bytes of an event stream into complete events, one at a time; buffers an incomplete one. Scans each byte once,
 * in whatever pieces they arrive.
 */
export class EventSplitter {
  readonly #incomplete = new BodyCollector();
  readonly #chunks: Buffer[] = [];
  #chunk: Buffer = noBytes;
  #unreadBytes = 0;
  #lineEnd = LineEnd.None;

  /** Size of the incomplete event that is buffered. */
  get pendingBytes(): number {
    return this.#incomplete.sizeBytes;
  }

  /** Bytes that have not been split yet. */
  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  /** Memory of the incomplete event, and of bytes that have not been split yet. */
  get heldBytes(): number {
    return this.#incomplete.heldBytes + this.#unreadBytes;
  }

  add(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#unreadBytes += chunk.length;
  }

  /** The next complete event; null when all bytes have been split. */
  next(): RelayedEvent | null {
    for (;;) {
      if (this.#chunk.length === 0) {
        const chunk = this.#chunks.shift();
        if (chunk === undefined) {
          return null;
        }
        this.#chunk = chunk;
      }
      const endAt = this.#findEnd(this.#chunk);
      const part = this.#takePart(endAt ?? this.#chunk.length);
      if (endAt !== null && this.#incomplete.sizeBytes === 0) {
        return createEvent(part);
      }
      this.#incomplete.add(part);
      if (endAt !== null) {
        return createEvent(this.#incomplete.take());
      }
    }
  }

  clear(): void {
    this.#incomplete.clear();
    this.#chunks.length = 0;
    this.#chunk = noBytes;
    this.#unreadBytes = 0;
  }

  #takePart(sizeBytes: number): Buffer {
    const part = this.#chunk.subarray(0, sizeBytes);
    // An empty part would keep the memory of the whole chunk.
    this.#chunk = sizeBytes === this.#chunk.length ? noBytes : this.#chunk.subarray(sizeBytes);
    this.#unreadBytes -= sizeBytes;
    return part;
  }

  /** Index after the blank line that ends the event; null if it goes on after these bytes. */
  #findEnd(bytes: Buffer): number | null {
    let at = 0;
    while (at < bytes.length) {
      if (this.#lineEnd === LineEnd.None) {
        const lineEndAt = bytes.indexOf(lineFeed, at);
        if (lineEndAt < 0) {
          return null;
        }
        this.#lineEnd = LineEnd.LineFeed;
        at = lineEndAt + 1;
        continue;
      }
      const byte = bytes[at];
      at += 1;
      if (byte === lineFeed) {
        this.#lineEnd = LineEnd.None;
        return at;
      }
      const isReturn = this.#lineEnd === LineEnd.LineFeed && byte === carriageReturn;
      this.#lineEnd = isReturn ? LineEnd.LineFeedReturn : LineEnd.None;
    }
    return null;
  }
}

/** Searches the lines in place, since an event may consist of very many short ones. */
function createEvent(bytes: Buffer): RelayedEvent {
  const text = `\n${bytes.toString("latin1")}`;
  const idAt = text.indexOf("\nid:");
  const idStart = idAt + "\nid:".length;
  return {
    bytes,
    id: idAt < 0 ? null : text.slice(idStart, text.indexOf("\n", idStart)).trim(),
    hasData: text.includes("\ndata:"),
  };
}
