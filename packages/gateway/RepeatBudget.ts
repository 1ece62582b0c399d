interface RetryBudgetOptions {
  /** Retries that the fleet may make for each request. */
  readonly ratio: number;
  /** Retries that the whole fleet may make in a window beyond the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

interface WindowSlot {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** The rest of the ratio and the slack is a reserve, since gateways do not count at the same moments. */
const usableShare = 0.7;
const slotsPerWindow = 10;

/**
 * One gateway's share of the retries that all gateways may send to a service within any window. Pure: the
 * caller passes the current time.
 */
export class RepeatBudget {
  readonly #options: RetryBudgetOptions;
  #slots: WindowSlot[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  noteRequest(nowMs: number): void {
    this.#getSlot(nowMs).requests += 1;
  }

  /** Takes a retry from the budget if it allows one. `entries` is the number of live gateways, at least 1. */
  take(entries: number, nowMs: number): boolean {
    const slot = this.#getSlot(nowMs);
    const requests = this.#slots.reduce((sum, item) => sum + item.requests, 0);
    const retries = this.#slots.reduce((sum, item) => sum + item.retries, 0);
    const { ratio, slack } = this.#options;
    const allowed = usableShare * (requests * ratio + slack / Math.max(entries, 1));
    if (retries + 1 > allowed) {
      return false;
    }
    slot.retries += 1;
    return true;
  }

  #getSlot(nowMs: number): WindowSlot {
    const lengthMs = this.#options.windowMs / slotsPerWindow;
    const startMs = Math.floor(nowMs / lengthMs) * lengthMs;
    const last = this.#slots.at(-1);
    if (last?.startMs === startMs) {
      return last;
    }
    const slot = { startMs, requests: 0, retries: 0 };
    this.#slots = [...this.#slots.filter((item) => item.startMs > startMs - this.#options.windowMs), slot];
    return slot;
  }
}
