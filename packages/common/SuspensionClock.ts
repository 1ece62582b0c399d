import { uptime } from "node:os";
import { performance } from "node:perf_hooks";
import type { Clock } from "./Clock";

/** Differences below this are rounding of the uptime, in milliseconds. */
const roundingMs = 1100;

/**
 * Clock whose monotonic time includes the time during which the machine was suspended. The steady clock leaves it
 * out, so that a lease would seem valid after a suspension of any length.
 */
export class SuspensionClock implements Clock {
  readonly #steadyMs: () => number;
  readonly #uptimeMs: () => number;
  #suspendedMs = 0;
  #offsetMs: number;

  constructor(steadyMs = () => performance.now(), uptimeMs = () => uptime() * 1000) {
    this.#steadyMs = steadyMs;
    this.#uptimeMs = uptimeMs;
    this.#offsetMs = uptimeMs() - steadyMs();
  }

  monotonicMs(): number {
    const steadyMs = this.#steadyMs();
    const missedMs = this.#uptimeMs() - steadyMs - this.#offsetMs;
    if (missedMs > roundingMs) {
      this.#suspendedMs += missedMs;
      this.#offsetMs += missedMs;
    }
    return steadyMs + this.#suspendedMs;
  }

  wallMs(): number {
    return Date.now();
  }
}
