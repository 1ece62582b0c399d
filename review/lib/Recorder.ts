import { writeFileSync } from "node:fs";

/** Collects what was sent, answered and run, and writes it to a file at the end. */
export class Recorder {
  readonly #lines: string[] = [];
  readonly #startedAtMs = performance.now();

  /** Time since the start of the case, in ms. */
  get nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  note(text: string): void {
    this.#lines.push(`${this.nowMs.toFixed(0).padStart(7)} ms  ${text}`);
  }

  write(file: string): void {
    writeFileSync(file, `${this.#lines.join("\n")}\n`);
  }
}
