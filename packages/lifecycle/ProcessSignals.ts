import { setImmediate as nextRound } from "node:timers/promises";
import { writeDiagnostic } from "@clementinemux/logging/writeDiagnostic";
import { SignalAction } from "./SignalAction";
import type { SignalSource } from "./SignalSource";
import type { StopHandler } from "./StopHandler";
import { signalActions } from "./signalActions";

/** Exit code when an orderly stop has failed. */
const stopFailedExitCode = 1;

/**
 * Owns the signals of a process. No signal but the first to stop has an effect, in whatever series they come. Signals that
 * arrive before the program has a stop handler are kept and delivered to it then.
 */
export class ProcessSignals {
  readonly #source: SignalSource;
  readonly #kept: NodeJS.Signals[] = [];
  #handler: StopHandler | null = null;
  #isStopping = false;

  /** Installs the handlers. A signal that the system does not let a process handle keeps its default. */
  constructor(source: SignalSource) {
    this.#source = source;
    for (const signal of Object.keys(signalActions) as NodeJS.Signals[]) {
      try {
        source.on(signal, () => {
          this.#receive(signal);
        });
      } catch (error) {
        writeDiagnostic(`${signal} is not handled: ${String(error)}\n`);
      }
    }
  }

  /**
   * Sets how the program stops, in place of an earlier handler. Called before the program serves anything. Resolves when the
   * signals that have arrived are delivered.
   */
  async setHandler(handler: StopHandler): Promise<void> {
    this.#handler = handler;
    for (const signal of this.#kept.splice(0)) {
      this.#receive(signal);
    }
    // Signals that arrive while a program is evaluated wait for the next round of the event loop.
    await nextRound();
  }

  #receive(signal: NodeJS.Signals): void {
    const handler = this.#handler;
    if (handler === null) {
      this.#kept.push(signal);
      return;
    }
    const action = signalActions[signal] ?? SignalAction.Ignore;
    handler.logger.info({ signal, action, isStopping: this.#isStopping }, "signal received");
    if (action === SignalAction.Stop && !this.#isStopping) {
      this.#isStopping = true;
      void this.#stop(handler);
    }
  }

  async #stop({ logger, stop }: StopHandler): Promise<void> {
    try {
      this.#source.exit(await stop());
    } catch (error) {
      logger.error({ error: error instanceof Error ? (error.stack ?? "") : String(error) }, "stop failed");
      this.#source.exit(stopFailedExitCode);
    }
  }
}
