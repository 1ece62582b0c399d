import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

interface AttemptWatchOptions {
  readonly target: TargetRecord;
  readonly parts: readonly string[];
  /** The target has answered a request with these parts and went on. */
  readonly onAnswered: (parts: readonly string[], nowMs: number) => void;
  /** The connection broke before the target had begun to answer. */
  readonly onBroken: (watch: AttemptWatch, nowMs: number) => void;
}

/** A target that crashes as it begins to answer may still get the first events out. */
const firstEventsMs = 300;
const firstFailureStatus = 500;

/** Observes for one attempt whether its target begins to answer and goes on. Takes the current time as a parameter. */
export class AttemptWatch {
  readonly target: TargetRecord;
  readonly parts: readonly string[];
  readonly #options: AttemptWatchOptions;
  #firstEventAtMs: number | null = null;
  #isAnswered = false;

  constructor(options: AttemptWatchOptions) {
    this.#options = options;
    this.target = options.target;
    this.parts = options.parts;
  }

  noteEvent(nowMs: number): void {
    this.#firstEventAtMs ??= nowMs;
    if (nowMs - this.#firstEventAtMs >= firstEventsMs) {
      this.#noteAnswered(nowMs);
    }
  }

  noteStreamEnd(nowMs: number): void {
    if (this.#firstEventAtMs !== null) {
      this.#noteAnswered(nowMs);
    }
  }

  /** A target that fails a request, as at its deadline, may not have begun to answer it. */
  noteResponse(status: number, nowMs: number): void {
    if (status < firstFailureStatus) {
      this.#noteAnswered(nowMs);
    }
  }

  /** Returns whether the attempt may be the one at which the target has crashed. */
  noteBroken(nowMs: number): boolean {
    if (this.#isAnswered || this.parts.length === 0) {
      return false;
    }
    this.#options.onBroken(this, nowMs);
    return true;
  }

  #noteAnswered(nowMs: number): void {
    if (!this.#isAnswered) {
      this.#isAnswered = true;
      this.#options.onAnswered(this.parts, nowMs);
    }
  }
}
