import type { RunningWork } from "@clementinemux/cost/RunningWork";

interface RunningRequestOptions {
  readonly running: RunningWork;
  readonly startedAtMs: number;
  /** The response is complete. `answerTokens` is 0 if it was not a stream. */
  readonly onComplete: (answerTokens: number, durationMs: number) => void;
}

/** Work of one attempt while it runs at its target. Takes the current time as a parameter. */
export class RunningRequest {
  readonly #options: RunningRequestOptions;

  constructor(options: RunningRequestOptions) {
    this.#options = options;
  }

  noteEvents(count: number): void {
    for (let noted = 0; noted < count; noted += 1) {
      this.#options.running.noteEvent();
    }
  }

  noteComplete(nowMs: number): void {
    const { running, startedAtMs, onComplete } = this.#options;
    onComplete(running.doneTokens, nowMs - startedAtMs);
  }

  /** The slot is free again; repeated calls change nothing. */
  end(): void {
    this.#options.running.end();
  }
}
