import type { Clock } from "@clementinemux/common/Clock";
import type { LogSink } from "./LogSink";
import type { LogTarget } from "./LogTarget";

/** Time without an attempt after a failed one, so that a failing log costs next to no processor time. */
const retryIntervalMs = 1000;

/** Log sink that outlives errors of its target: it refuses texts after an error, and tries again later. */
export class RetryingSink implements LogSink {
  readonly #target: LogTarget;
  readonly #clock: Clock;
  #retryAtMs = -Infinity;

  constructor(target: LogTarget, clock: Clock) {
    this.#target = target;
    this.#clock = clock;
  }

  get pendingBytes(): number {
    return this.#target.pendingBytes;
  }

  get isFailing(): boolean {
    return this.#clock.monotonicMs() < this.#retryAtMs;
  }

  write(text: string, onLost: () => void): void {
    if (this.isFailing) {
      onLost();
      return;
    }
    const fail = (): void => {
      this.#retryAtMs = this.#clock.monotonicMs() + retryIntervalMs;
      onLost();
    };
    try {
      this.#target.write(text, (error) => {
        if (error !== null) {
          fail();
        }
      });
    } catch {
      fail();
    }
  }
}
