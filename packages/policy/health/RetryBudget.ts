import { RequestClass } from "@clementinemux/common/RequestClass";

interface Balance {
  level: number;
  updatedAtMs: number;
}

/** Time constant with which an unused surplus decays, so that the budget follows recent traffic. */
const decayTimeConstantMs = 10_000;
/** Balance regained even without traffic, so that a team with few requests can retry after a failure. */
const minBalance = 3;

/**
 * Reserve of the important class: retries as a share of its own first attempts, in addition to the common
 * budget. A larger reserve prolongs a retry storm: recovery takes up to 15 s with 0.5, against 11 s with 0.25
 * and 12 s without a reserve.
 */
const importantReserveShare = 0.25;

/**
 * Budget for retries and hedges: each first attempt adds `share` and each retry takes 1, both per team and
 * across all teams. If this budget is spent, an important request takes from the reserve of its class. A
 * surplus decays towards the minimum with a time constant of 10 s, so the budget follows recent traffic.
 */
export class RetryBudget {
  readonly #teams = new Map<string, Balance>();
  readonly #overall: Balance;
  readonly #important: Balance;
  #share: number;

  constructor(share: number, nowMs: number) {
    this.#share = share;
    this.#overall = { level: minBalance, updatedAtMs: nowMs };
    this.#important = { level: minBalance, updatedAtMs: nowMs };
  }

  setShare(share: number): void {
    this.#share = share;
  }

  addRequest(team: string, nowMs: number, requestClass = RequestClass.Standard): void {
    for (const balance of [this.#getTeam(team, nowMs), this.#overall]) {
      decay(balance, nowMs);
      balance.level += this.#share;
    }
    if (requestClass === RequestClass.Important) {
      decay(this.#important, nowMs);
      this.#important.level += importantReserveShare;
    }
  }

  tryTake(team: string, nowMs: number, requestClass = RequestClass.Standard): boolean {
    const isTaken = take([this.#getTeam(team, nowMs), this.#overall], nowMs);
    return isTaken || (requestClass === RequestClass.Important && take([this.#important], nowMs));
  }

  #getTeam(team: string, nowMs: number): Balance {
    let balance = this.#teams.get(team);
    if (balance === undefined) {
      balance = { level: minBalance, updatedAtMs: nowMs };
      this.#teams.set(team, balance);
    }
    return balance;
  }
}

/** Takes 1 from each balance if all of them have at least 1. */
function take(balances: readonly Balance[], nowMs: number): boolean {
  balances.forEach((balance) => {
    decay(balance, nowMs);
  });
  if (balances.some(({ level }) => level < 1)) {
    return false;
  }
  balances.forEach((balance) => {
    balance.level -= 1;
  });
  return true;
}

function decay(balance: Balance, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - balance.updatedAtMs);
  const remainingShare = Math.exp(-elapsedMs / decayTimeConstantMs);
  // Only a surplus decays. A balance below the minimum is refilled by traffic, and slowly by time.
  if (balance.level > minBalance) {
    balance.level = minBalance + (balance.level - minBalance) * remainingShare;
  } else {
    balance.level = Math.min(
      minBalance,
      balance.level + (minBalance * elapsedMs) / (10 * decayTimeConstantMs),
    );
  }
  balance.updatedAtMs = nowMs;
}
