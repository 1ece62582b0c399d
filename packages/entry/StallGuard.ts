/** A tick that is this late means that the process stood still. */
const stallMs = 100;
/** Time in which what was sent meanwhile arrives; agents and engines on a machine that stood still resume at the same time. */
const settleMs = 30;
/** A process that stands still again and again checks timeouts all the same. */
const maxPostponedMs = 1000;

/** Decides when timeouts of peers may be checked, so that a stall of this process is not taken for their silence. Has no I/O. */
export class StallGuard {
  #tickedAtMs = -Infinity;
  #settledAtMs = -Infinity;
  /** First stall since the last check; null for none. */
  #stalledAtMs: number | null = null;

  /** Called with each tick. Returns whether to check timeouts now. */
  tick(nowMs: number): boolean {
    if (nowMs - this.#tickedAtMs > stallMs) {
      this.#settledAtMs = nowMs + settleMs;
      this.#stalledAtMs ??= nowMs;
    }
    this.#tickedAtMs = nowMs;
    const postponedMs = this.#stalledAtMs === null ? 0 : nowMs - this.#stalledAtMs;
    if (nowMs < this.#settledAtMs && postponedMs < maxPostponedMs) {
      return false;
    }
    this.#stalledAtMs = null;
    return true;
  }
}
