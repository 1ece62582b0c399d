import { RequestClass } from "@clementinemux/common/RequestClass";

interface Balance {
  level: number;
  updatedAtMs: number;
}

/** Live traffic counts for this long; an unused balance fades with it. */
const windowMs = 10_000;
/** Lets a team with little traffic retry after a single failure; per team and window. */
const minBalance = 3;

/**
 * Reserve of the important class: retries as a share of its own first attempts, beside the common budget. With a
 * half, the retry-storm bench took up to 15 s to recover instead of 12 s; with a quarter, at most 11 s.
 */
const importantShare = 0.25;

/**
 * Budget of retries and hedges: each first attempt adds `share`, each retry takes 1, both per team and over all
 * teams. An important request that finds this budget spent takes from the reserve of its class. The level fades with a time constant of 10 s towards the minimum, so the budget follows live traffic.
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
      fade(balance, nowMs);
      balance.level += this.#share;
    }
    if (requestClass === RequestClass.Important) {
      fade(this.#important, nowMs);
      this.#important.level += importantShare;
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

/** Takes 1 from each balance when all of them have it. */
function take(balances: readonly Balance[], nowMs: number): boolean {
  balances.forEach((balance) => {
    fade(balance, nowMs);
  });
  if (balances.some(({ level }) => level < 1)) {
    return false;
  }
  balances.forEach((balance) => {
    balance.level -= 1;
  });
  return true;
}

function fade(balance: Balance, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - balance.updatedAtMs);
  const kept = Math.exp(-elapsedMs / windowMs);
  // Only a surplus fades. A deficit stays until traffic pays for it, except for the small minimum.
  if (balance.level > minBalance) {
    balance.level = minBalance + (balance.level - minBalance) * kept;
  } else {
    balance.level = Math.min(minBalance, balance.level + (minBalance * elapsedMs) / (10 * windowMs));
  }
  balance.updatedAtMs = nowMs;
}
