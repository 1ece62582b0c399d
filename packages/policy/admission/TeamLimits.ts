import { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { LimitShare } from "./LimitShare";
import { TokenBucket } from "./TokenBucket";

interface TeamBuckets {
  readonly requests: TokenBucket;
  readonly tokens: TokenBucket;
}

interface LimitRefusal {
  readonly reason: RefusalReason;
  readonly waitMs: number;
}

interface TeamRates {
  readonly requestsPerS: number;
  readonly tokensPerS: number;
}

/** Time whose yield a bucket may hold: long enough for a burst of one user action, short against a lease. */
const burstS = 2;

/**
 * Team limits of this entry. Until a first leased share arrives for a team, the fleet-wide limit is divided by
 * the number of live entries; after that only leased shares count, and a share whose lease has ended is 0.
 * Tokens are charged as predicted at admission and corrected when the request ends.
 */
export class TeamLimits {
  readonly #startedAtMs: number;
  readonly #buckets = new Map<string, TeamBuckets>();
  readonly #shares = new Map<string, LimitShare>();
  #liveEntryCount = 1;

  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  setLiveEntryCount(count: number): void {
    this.#liveEntryCount = Math.max(1, count);
  }

  applyShares(shares: readonly LimitShare[]): void {
    for (const share of shares) {
      this.#shares.set(share.team, share);
    }
  }

  /** Charges the request, or tells why it must not be taken. */
  take(team: string, fleetRates: TeamRates, tokenCount: number, nowMs: number): LimitRefusal | null {
    const buckets = this.#getBuckets(team, fleetRates, nowMs);
    if (!buckets.requests.canTake(1, nowMs)) {
      return { reason: RefusalReason.TeamRequestLimit, waitMs: buckets.requests.getWaitMs(1, nowMs) };
    }
    if (!buckets.tokens.canTake(tokenCount, nowMs)) {
      return { reason: RefusalReason.TeamTokenLimit, waitMs: buckets.tokens.getWaitMs(tokenCount, nowMs) };
    }
    buckets.requests.take(1, nowMs);
    buckets.tokens.take(tokenCount, nowMs);
    return null;
  }

  /** Charges (or returns, when negative) the difference between the tokens used and those predicted. */
  correctTokens(team: string, tokenCount: number, nowMs: number): void {
    this.#buckets.get(team)?.tokens.take(tokenCount, nowMs);
  }

  #getBuckets(team: string, fleetRates: TeamRates, nowMs: number): TeamBuckets {
    const share = this.#shares.get(team);
    const rates = this.#getRates(share, fleetRates, nowMs);
    const requestCapacity = rates.requestsPerS === 0 ? 0 : Math.max(1, rates.requestsPerS * burstS);
    const tokenCapacity = rates.tokensPerS * burstS;
    let buckets = this.#buckets.get(team);
    if (buckets === undefined) {
      const startMs = share?.leaseStartMs ?? this.#startedAtMs;
      buckets = {
        requests: new TokenBucket(rates.requestsPerS, requestCapacity, startMs),
        tokens: new TokenBucket(rates.tokensPerS, tokenCapacity, startMs),
      };
      this.#buckets.set(team, buckets);
    }
    buckets.requests.setRate(rates.requestsPerS, requestCapacity, nowMs);
    buckets.tokens.setRate(rates.tokensPerS, tokenCapacity, nowMs);
    return buckets;
  }

  #getRates(share: LimitShare | undefined, fleetRates: TeamRates, nowMs: number): TeamRates {
    if (share === undefined) {
      return {
        requestsPerS: fleetRates.requestsPerS / this.#liveEntryCount,
        tokensPerS: fleetRates.tokensPerS / this.#liveEntryCount,
      };
    }
    return share.leaseEndMs > nowMs ? share : { requestsPerS: 0, tokensPerS: 0 };
  }
}
