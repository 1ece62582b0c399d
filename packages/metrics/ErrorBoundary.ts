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

  /** Resolves with whether the action has ended without an exception. */
  async runAsync(handler: Handler, action: () => void | Promise<void>): Promise<boolean> {
    try {
      await action();
      return true;
    } catch (error) {
      this.note(handler, error);
      return false;
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
