import type { Clock } from "@clementinemux/common/Clock";

interface ShutdownOptions {
  readonly clock: Clock;
  /** Time after the start at which the remaining requests are ended. */
  readonly shutdownDeadlineMs: number;
  /** Time until no other entry lists this one in its address responses. */
  readonly addressSettleMs: number;
  readonly getAddressTtlMs: () => number;
  readonly getRequestsInFlight: () => number;
  readonly announceLeaving: () => Promise<boolean>;
  /** Ends the remaining requests with explicit errors. */
  readonly endRequests: () => void;
}

// Time to deliver the last error events to callers.
const finalEventsGraceMs = 1000;

/**
 * Graceful shutdown. Callers use an address as long as the response that listed it is valid, so the entry
 * accepts requests until the last such response has expired, and only then rejects them.
 */
export class Shutdown {
  readonly #options: ShutdownOptions;
  #leavingSinceMs: number | null = null;
  #addressesExpireAtMs = Infinity;
  #requestsEndedAtMs = Infinity;
  #resolveDone: () => void = () => undefined;
  readonly #done: Promise<void>;

  constructor(options: ShutdownOptions) {
    this.#options = options;
    this.#done = new Promise((resolve) => {
      this.#resolveDone = resolve;
    });
  }

  get leaving(): boolean {
    return this.#leavingSinceMs !== null;
  }

  get acceptsRequests(): boolean {
    return (
      this.#requestsEndedAtMs === Infinity && this.#options.clock.monotonicMs() < this.#addressesExpireAtMs
    );
  }

  /**
   * Begins the shutdown, or ends the remaining requests if it has already begun. Resolves when none is left.
   */
  begin(): Promise<void> {
    if (this.leaving) {
      this.#endRequests();
      return this.#done;
    }
    const { clock, announceLeaving, addressSettleMs, getAddressTtlMs } = this.#options;
    this.#leavingSinceMs = clock.monotonicMs();
    this.#addressesExpireAtMs = this.#leavingSinceMs + addressSettleMs + getAddressTtlMs();
    void announceLeaving();
    return this.#done;
  }

  tick(): void {
    if (this.#leavingSinceMs === null) {
      return;
    }
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs >= this.#leavingSinceMs + this.#options.shutdownDeadlineMs) {
      this.#endRequests();
    }
    const mayEnd = nowMs >= this.#addressesExpireAtMs || this.#requestsEndedAtMs !== Infinity;
    const isGraceOver = nowMs >= this.#requestsEndedAtMs + finalEventsGraceMs;
    if (isGraceOver || (mayEnd && this.#options.getRequestsInFlight() === 0)) {
      this.#resolveDone();
    }
  }

  #endRequests(): void {
    if (this.#requestsEndedAtMs === Infinity) {
      this.#requestsEndedAtMs = this.#options.clock.monotonicMs();
      this.#options.endRequests();
    }
  }
}
