import { appendFileSync, writeFileSync } from "node:fs";

/** The record of a case: what was sent, answered and run, with times in ms since the start. */
export class CaseRecord {
  readonly #file: string;
  readonly #startedAtMs = performance.now();

  constructor(file: string) {
    this.#file = file;
    writeFileSync(file, "");
  }

  get nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  add(text: string): void {
    appendFileSync(this.#file, `${this.nowMs.toFixed(0).padStart(7)} ${text}\n`);
  }
}
