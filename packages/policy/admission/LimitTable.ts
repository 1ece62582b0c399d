interface Grant {
  readonly sequence: number;
  readonly share: number;
  readonly endMs: number;
}

interface LeaseHolder {
  demand: number;
  leaseEndMs: number;
  /** Grants that the holder may still use, oldest first. */
  grants: Grant[];
}

interface RenewalState {
  /** Sequence number of this grant. */
  readonly sequence: number;
  /** Latest grant that the holder has applied; it no longer uses any earlier one. */
  readonly ackedSequence: number;
  /** Share that the holder uses, possibly granted before this table was created. */
  readonly heldShare: number;
}

/**
 * Share of the limit that is split evenly among the holders, so that one with little demand keeps a share.
 */
const evenShare = 0.2;
const allAcknowledged: RenewalState = { sequence: 0, ackedSequence: Infinity, heldShare: 0 };

/**
 * Splits one fleet-wide limit among the entries that hold a lease. A grant is taken only from the part that
 * no unexpired grant reserves, so the active shares never sum to more than the limit. This also holds when an
 * entry crashes (its share is released when its lease ends) or restarts (it is a new holder). Since a
 * response may be lost, a lowered share is released only when the holder has acknowledged the lower grant or
 * the higher grant has expired. An entry counts its lease from sending the report and this table from
 * receiving it, so the lease ends first at the entry.
 *
 * Over a window of T seconds the entries together admit at most `limit * (T + burst)` plus one request per
 * entry, where `burst` is the capacity of a token bucket in seconds.
 */
export class LimitTable {
  readonly #leaseMs: number;
  readonly #fullFromMs: number;
  readonly #holders = new Map<string, LeaseHolder>();
  #limitPerS: number;

  /**
   * Until `fullFromMs`, shares granted before the start may be active: these are renewed, but no others
   * granted.
   */
  constructor(limitPerS: number, leaseMs: number, fullFromMs = -Infinity) {
    this.#limitPerS = limitPerS;
    this.#leaseMs = leaseMs;
    this.#fullFromMs = fullFromMs;
  }

  /**
   * Takes effect as the leases are renewed; a lowered limit may be exceeded for at most one lease duration.
   */
  setLimit(limitPerS: number): void {
    this.#limitPerS = limitPerS;
  }

  /** Renews the lease of an entry and returns its share. `demand` covers admitted and rejected requests. */
  renew(holderId: string, demand: number, nowMs: number, state: RenewalState = allAcknowledged): number {
    this.#expire(nowMs);
    const holder = this.#holders.get(holderId) ?? { demand: 0, leaseEndMs: 0, grants: [] };
    this.#holders.set(holderId, holder);
    holder.demand = demand;
    holder.grants = holder.grants.filter(({ sequence }) => sequence >= state.ackedSequence);
    const wanted = nowMs < this.#fullFromMs ? state.heldShare : this.#getFairShare(holder);
    const share = Math.max(0, Math.min(wanted, this.#limitPerS - this.#getReservedByOthers(holder)));
    holder.leaseEndMs = nowMs + this.#leaseMs;
    holder.grants.push({ sequence: state.sequence, share, endMs: holder.leaseEndMs });
    return share;
  }

  /** Sum of the shares whose leases have not expired. */
  getGrantedShare(nowMs: number): number {
    this.#expire(nowMs);
    return [...this.#holders.values()].reduce((sum, holder) => sum + getReserved(holder), 0);
  }

  /** Number of holders whose leases have not expired. */
  getHolderCount(nowMs: number): number {
    this.#expire(nowMs);
    return this.#holders.size;
  }

  #getFairShare(holder: LeaseHolder): number {
    const count = this.#holders.size;
    const total = [...this.#holders.values()].reduce((sum, { demand }) => sum + demand, 0);
    const demandShare = total === 0 ? 1 / count : holder.demand / total;
    return this.#limitPerS * (evenShare / count + (1 - evenShare) * demandShare);
  }

  #getReservedByOthers(holder: LeaseHolder): number {
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

function getReserved({ grants }: LeaseHolder): number {
  return Math.max(0, ...grants.map(({ share }) => share));
}
