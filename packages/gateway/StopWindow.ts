import type { RequestDuration } from "./RequestDuration";

interface StopWindowOptions {
  readonly startedAtMs: number;
  /** When the process has to exit, whatever is still in flight. */
  readonly endAtMs: number;
  /** How long after the start callers may still be directed to this gateway, in ms. */
  readonly advertisedMs: number;
}

/**
 * Decides which requests a stopping gateway still accepts: those that end before the process exits. While
 * callers may still be directed here, the expected end decides. Later only callers with an outdated address
 * arrive, and the latest possible end decides. This covers a rolling restart, in which callers keep arriving
 * until the process has exited. Takes the current time as a parameter.
 */
export class StopWindow {
  readonly #options: StopWindowOptions;

  constructor(options: StopWindowOptions) {
    this.#options = options;
  }

  get endAtMs(): number {
    return this.#options.endAtMs;
  }

  admits({ expectedMs, latestMs }: RequestDuration, nowMs: number): boolean {
    const { startedAtMs, endAtMs, advertisedMs } = this.#options;
    const isAdvertised = nowMs - startedAtMs < advertisedMs;
    return nowMs + (isAdvertised ? expectedMs : latestMs) <= endAtMs;
  }

  /** Whether the process may exit early: no callers are directed here any more, and nothing is in flight. */
  isOver(inFlight: number, nowMs: number): boolean {
    const { startedAtMs, endAtMs, advertisedMs } = this.#options;
    return nowMs >= endAtMs || (inFlight === 0 && nowMs - startedAtMs >= advertisedMs);
  }
}
