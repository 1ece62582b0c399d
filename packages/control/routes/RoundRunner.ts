import { setTimeout as delay } from "node:timers/promises";
import { periodic } from "most";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { CoordinatorHandler } from "./CoordinatorHandler";

/** Runs the periodic tasks of a coordinator until it is closed. A task that fails is counted and runs again. */
export class RoundRunner {
  readonly #errors: ErrorBoundary<CoordinatorHandler>;
  #isClosed = false;

  constructor(errors: ErrorBoundary<CoordinatorHandler>) {
    this.#errors = errors;
  }

  close(): void {
    this.#isClosed = true;
  }

  async run(action: () => void | Promise<void>): Promise<void> {
    await this.#errors.runAsync(CoordinatorHandler.Round, action);
  }

  runPeriodically(intervalMs: number, action: () => void | Promise<void>): void {
    void periodic(intervalMs)
      .takeWhile(() => !this.#isClosed)
      .observe(() => {
        void this.run(action);
      });
  }

  /** Repeats an action that resolves with the time until its next run; after a failure it runs again after `retryMs`. */
  async repeat(retryMs: number, action: () => Promise<number>): Promise<void> {
    while (!this.#isClosed) {
      let waitMs = retryMs;
      await this.run(async () => {
        waitMs = await action();
      });
      await delay(waitMs);
    }
  }
}
