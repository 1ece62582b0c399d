interface StallTimerOptions {
  readonly limitMs: number;
  readonly onStalled: () => void;
}

/** Tells when a stream has made no progress for too long. Time during which it is not read does not count. */
export class StallTimer {
  readonly #options: StallTimerOptions;
  #timer: NodeJS.Timeout | null = null;
  #progress = 0;

  constructor(options: StallTimerOptions) {
    this.#options = options;
  }

  /** The stream begins, goes on or is read again. */
  restart(): void {
    this.#progress += 1;
    if (this.#timer === null) {
      this.#timer = setTimeout(() => {
        this.#onTimer();
      }, this.#options.limitMs);
    } else {
      this.#timer.refresh();
    }
  }

  stop(): void {
    this.#progress += 1;
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
  }

  /** When a process that was stopped runs again, its timers fire before its sockets are read. */
  #onTimer(): void {
    const { onStalled } = this.#options;
    const progress = this.#progress;
    setImmediate(() => {
      if (this.#progress === progress) {
        onStalled();
      }
    });
  }
}
