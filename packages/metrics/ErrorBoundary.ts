import type { Logger } from "roarr";
import { Counters } from "./Counters";
import { renderCounters } from "./renderCounters";

interface ErrorBoundaryOptions<Handler extends string> {
  /** Name of the counters. */
  readonly name: string;
  readonly handlers: readonly Handler[];
  readonly logger: Logger;
}

/**
 * Runs handlers of events and timers, so that an exception costs only what the handler works for and not the process.
 * Each one is logged with its stack and counted.
 */
export class ErrorBoundary<Handler extends string> {
  readonly #counters: Counters<Handler>;
  readonly #logger: Logger;

  constructor({ name, handlers, logger }: ErrorBoundaryOptions<Handler>) {
    this.#counters = new Counters(name, "handler", handlers);
    this.#logger = logger;
  }

  /** `onError` ends what the handler worked for, whose state is unknown. */
  run(handler: Handler, action: () => void, onError: () => void = () => undefined): void {
    try {
      action();
    } catch (error) {
      this.note(handler, error);
      try {
        onError();
      } catch (secondError) {
        this.note(handler, secondError);
      }
    }
  }

  /** Resolves when the action has ended, whether or not it has failed. */
  async runAsync(handler: Handler, action: () => void | Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      this.note(handler, error);
    }
  }

  /** Logs and counts an exception that was caught elsewhere. */
  note(handler: Handler, error: unknown): void {
    this.#counters.add(handler);
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#logger.error({ handler, error: text }, "handler failed");
  }

  /** Counters in Prometheus text format. */
  render(): string {
    return renderCounters(this.#counters);
  }
}
