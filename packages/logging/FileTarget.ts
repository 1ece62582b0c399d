import { writeSync } from "node:fs";
import type { LogTarget } from "./LogTarget";

/** Log target that is a file or device; each text is written before `write` returns. */
export class FileTarget implements LogTarget {
  readonly pendingBytes = 0;
  readonly #descriptor: number;
  /** Whether the last text was written in part, as on a disk that became full. */
  #isCut = false;

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /** Throws when the text cannot be written as a whole. */
  write(text: string, onDone: (error: Error | null) => void): void {
    const bytes = Buffer.from(this.#isCut ? `\n${text}` : text);
    for (let writtenBytes = 0; writtenBytes < bytes.length;) {
      writtenBytes += writeSync(this.#descriptor, bytes, writtenBytes);
      this.#isCut = writtenBytes < bytes.length;
    }
    onDone(null);
  }
}
