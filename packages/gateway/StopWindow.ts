import type { RequestDuration } from "./RequestDuration";

interface StopWindowOptions {
  readonly startedAtMs: number;
  /** When the process has to end, whatever is still running. */
  readonly endAtMs: number;
  /** For how long after the start callers may still be told to come here. */
  readonly namedMs: number;
}

/**
 * What a gateway that stops still takes: requests that end before the process has to. While callers may still be sent
 * here, the expected end decides; later on, when only callers with an outdated address come, the latest possible one.
 * Answers the load of a rolling restart, in which callers keep arriving until the process is gone. Has no clock.
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
    const { startedAtMs, endAtMs, namedMs } = this.#options;
    const isNamed = nowMs - startedAtMs < namedMs;
    return nowMs + (isNamed ? expectedMs : latestMs) <= endAtMs;
  }

  /** Whether the process may end early: nobody is sent here any more, and nothing is in flight. */
  isOver(inFlight: number, nowMs: number): boolean {
    const { startedAtMs, endAtMs, namedMs } = this.#options;
    return nowMs >= endAtMs || (inFlight === 0 && nowMs - startedAtMs >= namedMs);
  }
}
