import type { Clock } from "@clementinemux/common/Clock";
import { hasStoppedListening } from "@clementinemux/wire/hasStoppedListening";
import type { TargetCrash } from "./TargetCrash";

interface TargetCrashesOptions {
  readonly clock: Clock;
  /** Resolves with whether the target refuses connections, as after a crash. */
  readonly isRefusing: () => Promise<boolean>;
}

/** Requests that broke within this time were at the same crash. */
const sameCrashMs = 200;

/** Crashes of the agent's target, recognized by a connection that breaks and a port that refuses new ones. */
export class TargetCrashes {
  readonly #options: TargetCrashesOptions;
  #count = 0;
  #lastAtMs = -Infinity;

  constructor(options: TargetCrashesOptions) {
    this.#options = options;
  }

  /** The last crash; null if there was none. */
  get last(): TargetCrash | null {
    const ageMs = Math.round(this.#options.clock.monotonicMs() - this.#lastAtMs);
    return this.#count === 0 ? null : { number: this.#count, ageMs };
  }

  /** To be called when the connection of a request breaks; resolves when it is known whether the target has crashed. */
  async examine(): Promise<void> {
    const atMs = this.#options.clock.monotonicMs();
    if (await hasStoppedListening(this.#options.isRefusing)) {
      this.#count += atMs - this.#lastAtMs > sameCrashMs ? 1 : 0;
      this.#lastAtMs = atMs;
    }
  }
}
