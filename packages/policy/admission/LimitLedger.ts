interface Grant {
  readonly sequence: number;
  readonly share: number;
  readonly endMs: number;
}

interface Holder {
  demand: number;
  leaseEndMs: number;
  /** Grants that the holder may still use, oldest first. */
  grants: Grant[];
}

interface RenewalState {
  /** Number of this grant. */
  readonly sequence: number;
  /** Latest grant that the holder has applied; it uses none before it any more. */
  readonly ackedSequence: number;
  /** Share in force at the holder, granted before this ledger's start. */
  readonly heldShare: number;
}

/** Part of the limit that is split evenly among the holders, so that one with little demand keeps a share. */
const evenPart = 0.2;
const delivered: RenewalState = { sequence: 0, ackedSequence: Infinity, heldShare: 0 };

/**
 * Splits one fleet-wide limit among the entries that hold a lease. A grant is only ever taken from what no
 * unexpired grant holds, so at every instant the shares in force sum to at most the limit, also when an entry
 * dies (its share returns at its lease end) or restarts (it is a new holder). A lowered share becomes free only
 * when the holder has confirmed the lower grant or the higher one has ended, since a response may be lost.
 * Over a window of T seconds the entries together admit at most `limit * (T + burst)` plus one request per
 * entry, where the burst is the time whose yield a bucket may hold. An entry counts its lease from the sending
 * of the report and the ledger from its receipt, so the entry's lease ends first.
 */
export class LimitLedger {
  readonly #leaseMs: number;
  readonly #fullFromMs: number;
  readonly #holders = new Map<string, Holder>();
  #limitPerS: number;

  /** Before `fullFromMs` shares granted before the start may be in force: these are renewed, none are added. */
  constructor(limitPerS: number, leaseMs: number, fullFromMs = -Infinity) {
    this.#limitPerS = limitPerS;
    this.#leaseMs = leaseMs;
    this.#fullFromMs = fullFromMs;
  }

  /** Takes effect as the leases are renewed; a lowered limit is exceeded for at most one lease. */
  setLimit(limitPerS: number): void {
    this.#limitPerS = limitPerS;
  }

  /** Renews the lease of an entry that saw `demand` (admitted and refused) and returns its share. */
  renew(holderId: string, demand: number, nowMs: number, state: RenewalState = delivered): number {
    this.#expire(nowMs);
    const holder = this.#holders.get(holderId) ?? { demand: 0, leaseEndMs: 0, grants: [] };
    this.#holders.set(holderId, holder);
    holder.demand = demand;
    holder.grants = holder.grants.filter(({ sequence }) => sequence >= state.ackedSequence);
    const wanted = nowMs < this.#fullFromMs ? state.heldShare : this.#getFairShare(holder);
    const share = Math.max(0, Math.min(wanted, this.#limitPerS - this.#getHeldByOthers(holder)));
    holder.leaseEndMs = nowMs + this.#leaseMs;
    holder.grants.push({ sequence: state.sequence, share, endMs: holder.leaseEndMs });
    return share;
  }

  /** Sum of the shares whose leases have not ended. */
  getGranted(nowMs: number): number {
    this.#expire(nowMs);
    return [...this.#holders.values()].reduce((sum, holder) => sum + getReserved(holder), 0);
  }

  /** Number of holders whose leases have not ended. */
  getHolderCount(nowMs: number): number {
    this.#expire(nowMs);
    return this.#holders.size;
  }

  #getFairShare(holder: Holder): number {
    const count = this.#holders.size;
    const total = [...this.#holders.values()].reduce((sum, { demand }) => sum + demand, 0);
    const demandShare = total === 0 ? 1 / count : holder.demand / total;
    return this.#limitPerS * (evenPart / count + (1 - evenPart) * demandShare);
  }

  #getHeldByOthers(holder: Holder): number {
    return [...this.#holders.values()].reduce(
      (sum, other) => (other === holder ? sum : sum + getReserved(other)),
      0,
    );
  }

  #expire(nowMs: number): void {
    for (const [id, holder] of this.#holders) {
      holder.grants = holder.grants.filter(({ endMs }) => endMs > nowMs);
      if (holder.leaseEndMs <= nowMs) {
        this.#holders.delete(id);
      }
    }
  }
}

function getReserved({ grants }: Holder): number {
  return Math.max(0, ...grants.map(({ share }) => share));
}
