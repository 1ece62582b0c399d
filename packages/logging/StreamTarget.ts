import type { Writable } from "node:stream";
import type { LogTarget } from "./LogTarget";

/** Log target that is a pipe, socket or terminal; texts that are not read yet are buffered in memory. */
export class StreamTarget implements LogTarget {
  readonly #stream: Writable;

  constructor(stream: Writable) {
    this.#stream = stream;
    // Each write reports its own error; without a listener, the event would end the process.
    stream.on("error", () => undefined);
  }

  get pendingBytes(): number {
    return this.#stream.writableLength;
  }

  write(text: string, onDone: (error: Error | null) => void): void {
    this.#stream.write(text, (error) => {
      onDone(error ?? null);
    });
  }
}
