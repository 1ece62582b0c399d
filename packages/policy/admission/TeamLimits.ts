import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { DemandMeter } from "./DemandMeter";
import type { LimitShare } from "./LimitShare";
import type { TeamDemand } from "./TeamDemand";
import { TokenBucket } from "@clementinemux/common/TokenBucket";
import { unleasedShare } from "./unleasedShare";

interface TeamBuckets {
  readonly requests: TokenBucket;
  readonly tokens: TokenBucket;
  /** Fleet-wide limits as of the last request. */
  fleetRates: TeamRates;
}

interface LimitRefusal {
  readonly reason: RefusalReason;
  readonly waitMs: number;
}

interface TeamRates {
  readonly requestsPerS: number;
  readonly tokensPerS: number;
}

/**
 * Capacity of a bucket in seconds: enough for the burst of one user action, but short compared with a lease.
 */
const burstS = 2;

/**
 * Team limits of this entry: the leased share of the fleet-wide limit, plus the unleased part divided by the
 * number of live entries. While no relay grants leases, the whole limit is divided by that number. Predicted
 * tokens are charged at admission and corrected when the request ends.
 */
export class TeamLimits {
  readonly #startedAtMs: number;
  readonly #buckets = new Map<string, TeamBuckets>();
  readonly #shares = new Map<string, LimitShare>();
  readonly #demand: DemandMeter;
  #liveEntryCount = 1;
  #isLeasing = false;

  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
    this.#demand = new DemandMeter(startedAtMs);
  }

  setLiveEntryCount(count: number): void {
    this.#liveEntryCount = Math.max(1, count);
  }

  /** Sets whether a relay grants leases to this entry. */
  setLeasing(isLeasing: boolean): void {
    this.#isLeasing = isLeasing;
  }

  applyShares(shares: readonly LimitShare[], nowMs: number): void {
    for (const share of shares) {
      this.#accrue(share.team, nowMs);
      this.#shares.set(share.team, share);
    }
  }

  /** Stops using the shares of these teams before their leases end. */
  dropShares(teams: readonly string[], nowMs: number): void {
    for (const team of teams) {
      this.#accrue(team, nowMs);
      this.#shares.delete(team);
    }
  }

  /** Demand of the active teams since the last call. */
  collectDemand(nowMs: number): readonly TeamDemand[] {
    return this.#demand
      .collect(nowMs)
      .map(({ team, demand }) => ({ team, demand, held: this.getLeasedShare(team, nowMs) }));
  }

  /** Demand of the teams that no earlier call has returned. */
  collectNewDemand(): readonly TeamDemand[] {
    return this.#demand.collectNew().map(({ team, demand }) => ({ team, demand, held: 0 }));
  }

  /** Leased share of the team's limits that is active at this entry; 0 without a lease. */
  getLeasedShare(team: string, nowMs: number): number {
    const share = this.#shares.get(team);
    return share !== undefined && share.leaseEndMs > nowMs ? share.share : 0;
  }

  /** Charges the request, or returns why it must be rejected. */
  take(team: string, fleetRates: TeamRates, tokenCount: number, nowMs: number): LimitRefusal | null {
    const buckets = this.#getBuckets(team, fleetRates, nowMs);
    const { requestsPerS, tokensPerS } = fleetRates;
    this.#demand.add(team, divide(1, requestsPerS), divide(tokenCount, tokensPerS), nowMs);
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

  /** Charges the difference between the tokens used and those predicted, or refunds it if it is negative. */
  correctTokens(team: string, tokenCount: number, nowMs: number): void {
    this.#buckets.get(team)?.tokens.take(tokenCount, nowMs);
  }

  #getBuckets(team: string, fleetRates: TeamRates, nowMs: number): TeamBuckets {
    let buckets = this.#buckets.get(team);
    if (buckets === undefined) {
      const startMs = this.#shares.get(team)?.leaseStartMs ?? this.#startedAtMs;
      const { requests, tokens } = this.#getSizes(team, fleetRates, nowMs);
      // The first request of a team must be admitted: shares are granted only in response to reported demand.
      const firstRequestMs = nowMs - 1000 / Math.max(requests.ratePerS, Number.MIN_VALUE);
      buckets = {
        requests: new TokenBucket(requests.ratePerS, requests.capacity, Math.min(startMs, firstRequestMs)),
        tokens: new TokenBucket(tokens.ratePerS, tokens.capacity, Math.min(startMs, nowMs - burstS * 1000)),
        fleetRates,
      };
      this.#buckets.set(team, buckets);
    }
    buckets.fleetRates = fleetRates;
    this.#accrue(team, nowMs);
    return buckets;
  }

  /**
   * Refills the buckets at the rate of the share that was active until now, but not beyond the end of its
   * lease.
   */
  #accrue(team: string, nowMs: number): void {
    const buckets = this.#buckets.get(team);
    const endMs = this.#shares.get(team)?.leaseEndMs ?? Infinity;
    for (const atMs of endMs < nowMs ? [endMs, nowMs] : [nowMs]) {
      if (buckets !== undefined) {
        const { requests, tokens } = this.#getSizes(team, buckets.fleetRates, atMs);
        buckets.requests.setRate(requests.ratePerS, requests.capacity, atMs);
        buckets.tokens.setRate(tokens.ratePerS, tokens.capacity, atMs);
      }
    }
  }

  #getSizes(
    team: string,
    fleetRates: TeamRates,
    nowMs: number,
  ): Record<"requests" | "tokens", { ratePerS: number; capacity: number }> {
    const part = this.#getOwnShare(team, nowMs);
    const requestsPerS = fleetRates.requestsPerS * part;
    const tokensPerS = fleetRates.tokensPerS * part;
    return {
      requests: {
        ratePerS: requestsPerS,
        capacity: requestsPerS === 0 ? 0 : Math.max(1, requestsPerS * burstS),
      },
      tokens: { ratePerS: tokensPerS, capacity: tokensPerS * burstS },
    };
  }

  #getOwnShare(team: string, nowMs: number): number {
    const dividedShare = this.#isLeasing ? unleasedShare : 1;
    return this.getLeasedShare(team, nowMs) + dividedShare / this.#liveEntryCount;
  }
}

/** Returns 0 for a limit of 0, which admits nothing, so no share of it is needed. */
function divide(amount: number, limitPerS: number): number {
  return limitPerS > 0 ? amount / limitPerS : 0;
}
