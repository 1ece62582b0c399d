interface Balance {
  level: number;
  updatedAtMs: number;
}

/** Live traffic counts for this long; an unused balance fades with it. */
const windowMs = 10_000;
/** Lets a team with little traffic retry after a single failure; per team and window. */
const minBalance = 3;

/**
 * Budget of retries and hedges: each first attempt adds `share`, each retry takes 1, both per team and over all
 * teams. The level fades with a time constant of 10 s towards the minimum, so the budget follows live traffic.
 */
export class RetryBudget {
  readonly #teams = new Map<string, Balance>();
  readonly #overall: Balance;
  #share: number;

  constructor(share: number, nowMs: number) {
    this.#share = share;
    this.#overall = { level: minBalance, updatedAtMs: nowMs };
  }

  setShare(share: number): void {
    this.#share = share;
  }

  addRequest(team: string, nowMs: number): void {
    for (const balance of [this.#getTeam(team, nowMs), this.#overall]) {
      fade(balance, nowMs);
      balance.level += this.#share;
    }
  }

  tryTake(team: string, nowMs: number): boolean {
    const balances = [this.#getTeam(team, nowMs), this.#overall];
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

  #getTeam(team: string, nowMs: number): Balance {
    let balance = this.#teams.get(team);
    if (balance === undefined) {
      balance = { level: minBalance, updatedAtMs: nowMs };
      this.#teams.set(team, balance);
    }
    return balance;
  }
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
