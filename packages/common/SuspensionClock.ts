import { getSteadyMs } from "./getSteadyMs";
import type { Clock } from "./Clock";

/** Jumps of the time of day against the steady clock below this are corrections of the time, in milliseconds. */
const leastJumpMs = 400;

/**
 * Clock for leases, whose monotonic time includes the time during which the machine was suspended. The steady clock
 * leaves it out, so that a lease would seem valid after a suspension of any length; the time of day does not, but
 * may also be set. A jump forward counts as a suspension, which ends leases early at worst; a jump back counts for
 * nothing. It has to be read at least every few hundred milliseconds to tell the jumps apart.
 */
export class SuspensionClock implements Clock {
  readonly #steadyMs: () => number;
  readonly #wallMs: () => number;
  #suspendedMs = 0;
  #lastSteadyMs: number;
  #lastWallMs: number;

  constructor(steadyMs = () => getSteadyMs(), wallMs = () => Date.now()) {
    this.#steadyMs = steadyMs;
    this.#wallMs = wallMs;
    this.#lastSteadyMs = steadyMs();
    this.#lastWallMs = wallMs();
  }

  monotonicMs(): number {
    const steadyMs = this.#steadyMs();
    const wallMs = this.#wallMs();
    const missedMs = wallMs - this.#lastWallMs - (steadyMs - this.#lastSteadyMs);
    this.#lastSteadyMs = steadyMs;
    this.#lastWallMs = wallMs;
    if (missedMs > leastJumpMs) {
      this.#suspendedMs += missedMs;
    }
    return steadyMs + this.#suspendedMs;
  }

  wallMs(): number {
    return this.#wallMs();
  }
}
