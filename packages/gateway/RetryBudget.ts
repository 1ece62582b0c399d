interface RetryBudgetOptions {
  /** Retries that the fleet may make for each request. */
  readonly ratio: number;
  /** Retries that the whole fleet may make in a window beyond the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** The rest of the ratio and the slack is a reserve, since gateways do not count at the same moments. */
const usableShare = 0.7;
const bucketsPerWindow = 10;

/**
 * One gateway's share of the retries that all gateways may send to a service within any window. Takes the
 * current time as a parameter.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #buckets: Bucket[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  noteRequest(nowMs: number): void {
    this.#getBucket(nowMs).requests += 1;
  }

  /** Takes a retry from the budget if it allows one. `gateways` is the number of live gateways, at least 1. */
  take(gateways: number, nowMs: number): boolean {
    const bucket = this.#getBucket(nowMs);
    const requests = this.#buckets.reduce((sum, item) => sum + item.requests, 0);
    const retries = this.#buckets.reduce((sum, item) => sum + item.retries, 0);
    const { ratio, slack } = this.#options;
    const allowed = usableShare * (requests * ratio + slack / Math.max(gateways, 1));
    if (retries + 1 > allowed) {
      return false;
    }
    bucket.retries += 1;
    return true;
  }

  #getBucket(nowMs: number): Bucket {
    const lengthMs = this.#options.windowMs / bucketsPerWindow;
    const startMs = Math.floor(nowMs / lengthMs) * lengthMs;
    const last = this.#buckets.at(-1);
    if (last?.startMs === startMs) {
      return last;
    }
    const bucket = { startMs, requests: 0, retries: 0 };
    this.#buckets = [
      ...this.#buckets.filter((item) => item.startMs > startMs - this.#options.windowMs),
      bucket,
    ];
    return bucket;
  }
}
