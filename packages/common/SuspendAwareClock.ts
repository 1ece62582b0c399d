import { getMonotonicMs } from "./getMonotonicMs";
import type { Clock } from "./Clock";

/** Smaller forward jumps of the wall clock against the monotonic clock are corrections of the time. */
const minSuspensionMs = 400;

/**
 * Clock for leases, whose monotonic time includes the time during which the machine was suspended. The
 * system's monotonic clock stops during a suspension, so that a lease would seem valid after a suspension of
 * any length. The wall clock continues, but may also be set. A forward jump of the wall clock counts as a
 * suspension, which at worst ends leases early; a backward jump is ignored. The clock has to be read at least
 * every few hundred milliseconds, so that separate jumps are not measured as one.
 */
export class SuspendAwareClock implements Clock {
  readonly #systemMs: () => number;
  readonly #wallMs: () => number;
  #suspendedMs = 0;
  #lastSystemMs: number;
  #lastWallMs: number;

  constructor(systemMs = () => getMonotonicMs(), wallMs = () => Date.now()) {
    this.#systemMs = systemMs;
    this.#wallMs = wallMs;
    this.#lastSystemMs = systemMs();
    this.#lastWallMs = wallMs();
  }

  monotonicMs(): number {
    const systemMs = this.#systemMs();
    const wallMs = this.#wallMs();
    const jumpMs = wallMs - this.#lastWallMs - (systemMs - this.#lastSystemMs);
    this.#lastSystemMs = systemMs;
    this.#lastWallMs = wallMs;
    if (jumpMs > minSuspensionMs) {
      this.#suspendedMs += jumpMs;
    }
    return systemMs + this.#suspendedMs;
  }

  wallMs(): number {
    return this.#wallMs();
  }
}
