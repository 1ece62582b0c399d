/** Runs one piece of work per turn of the event loop, in the order of arrival, so that sockets are read in between. */
export class TurnQueue {
  #waiting: (() => void)[] = [];
  #isScheduled = false;

  add(run: () => void): void {
    this.#waiting.push(run);
    this.#schedule();
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        const run = this.#waiting.shift();
        if (this.#waiting.length > 0) {
          this.#schedule();
        }
        run?.();
      });
    }
  }
}
