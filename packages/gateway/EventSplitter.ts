import type { RelayedEvent } from "./RelayedEvent";

const lineFeed = 10;
const carriageReturn = 13;

/** Splits the bytes of an event stream into complete events; buffers an incomplete one. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Size of the incomplete event that is buffered. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  push(chunk: Buffer): RelayedEvent[] {
    const bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const events: RelayedEvent[] = [];
    let start = 0;
    for (let end = findEnd(bytes, start); end > 0; end = findEnd(bytes, start)) {
      const eventBytes = bytes.subarray(start, end);
      events.push({ bytes: eventBytes, ...readFields(eventBytes) });
      start = end;
    }
    this.#pending = start === bytes.length ? Buffer.alloc(0) : bytes.subarray(start);
    return events;
  }
}

/** Index after the blank line that ends the event at `start`; 0 when there is none yet. */
function findEnd(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(lineFeed, start); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    if (bytes[at + 1] === lineFeed) {
      return at + 2;
    }
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) {
      return at + 3;
    }
  }
  return 0;
}

function readFields(bytes: Buffer): Pick<RelayedEvent, "id" | "hasData"> {
  const lines = bytes.toString("latin1").split("\n");
  const id = lines.find((line) => line.startsWith("id:"));
  return {
    id: id === undefined ? null : id.slice(3).trim(),
    hasData: lines.some((line) => line.startsWith("data:")),
  };
}
