interface Holder {
  share: number;
  demandPerS: number;
  leaseEndMs: number;
}

/** Part of the limit that is split evenly, so that an entry that has been idle can serve its first requests. */
const evenPart = 0.2;

/**
 * Splits one fleet-wide limit among the entries that hold a lease. A grant is only ever taken from what no
 * unexpired lease holds, so at every instant the shares in force sum to at most the limit, also when an entry
 * dies (its share returns at its lease end) or restarts (it is a new holder). Over a window of T seconds the
 * entries together admit at most `limit * (T + burst)` plus one request per entry, where the burst is the time
 * whose yield a bucket may hold. An entry counts its lease from the sending of the renewal and the ledger from
 * its receipt, so the entry's lease ends first.
 */
export class LimitLedger {
  readonly #leaseMs: number;
  readonly #holders = new Map<string, Holder>();
  #limitPerS: number;

  constructor(limitPerS: number, leaseMs: number) {
    this.#limitPerS = limitPerS;
    this.#leaseMs = leaseMs;
  }

  /** Takes effect as the leases are renewed; a lowered limit is exceeded for at most one lease. */
  setLimit(limitPerS: number): void {
    this.#limitPerS = limitPerS;
  }

  /** Renews the lease of an entry that saw `demandPerS` (admitted and refused) and returns its share. */
  renew(holderId: string, demandPerS: number, nowMs: number): number {
    this.#expire(nowMs);
    const holder = this.#holders.get(holderId) ?? { share: 0, demandPerS: 0, leaseEndMs: 0 };
    this.#holders.set(holderId, holder);
    holder.demandPerS = demandPerS;
    holder.share = Math.max(
      0,
      Math.min(this.#getFairShare(holder), this.#limitPerS - this.#getHeldByOthers(holder)),
    );
    holder.leaseEndMs = nowMs + this.#leaseMs;
    return holder.share;
  }

  /** Sum of the shares whose leases have not ended. */
  getGranted(nowMs: number): number {
    this.#expire(nowMs);
    return [...this.#holders.values()].reduce((sum, { share }) => sum + share, 0);
  }

  #getFairShare(holder: Holder): number {
    const count = this.#holders.size;
    const demand = [...this.#holders.values()].reduce((sum, { demandPerS }) => sum + demandPerS, 0);
    const demandShare = demand === 0 ? 1 / count : holder.demandPerS / demand;
    return this.#limitPerS * (evenPart / count + (1 - evenPart) * demandShare);
  }

  #getHeldByOthers(holder: Holder): number {
    return [...this.#holders.values()].reduce(
      (sum, other) => (other === holder ? sum : sum + other.share),
      0,
    );
  }

  #expire(nowMs: number): void {
    for (const [id, { leaseEndMs }] of this.#holders) {
      if (leaseEndMs <= nowMs) {
        this.#holders.delete(id);
      }
    }
  }
}
