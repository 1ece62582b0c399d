interface StallTimerOptions {
  readonly limitMs: number;
  readonly onStalled: () => void;
}

/**
 * Reports when a stream has made no progress for too long. Time during which the stream is not read does not
 * count.
 */
export class StallTimer {
  readonly #options: StallTimerOptions;
  #timer: NodeJS.Timeout | null = null;
  #progress = 0;

  constructor(options: StallTimerOptions) {
    this.#options = options;
  }

  /** The stream has started, made progress or is read again. */
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

  /**
   * When a suspended process resumes, its timers fire before its sockets are read, so the sockets are read
   * first.
   */
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
