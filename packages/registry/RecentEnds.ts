import type { TargetIncarnation } from "./TargetIncarnation";

/** Longer than a call is held up by a partition or a power loss of some minutes. */
const retentionMs = 600_000;
/** Without a start time, a target's next incarnation looks like the one that has ended. */
const unbornRetentionMs = 60_000;
/** Twice the number of targets that the design is for. The oldest ends are dropped beyond it. */
const maxEnds = 24_000;

/**
 * Ends of targets, one by id, bounded in number and time. Coordinators and gateways keep them by the same bounds, so that neither
 * forgets an end before the other. Has no I/O and takes the current time as a parameter.
 */
export class RecentEnds<End extends { readonly bornMs: number }> {
  readonly #getTimeMs: (end: End) => number;
  /** By id, the one that was put first at the start. */
  readonly #ends = new Map<string, End>();

  /** `getTimeMs` returns when an end was recorded or learned, by the clock of the times that are passed. */
  constructor(getTimeMs: (end: End) => number) {
    this.#getTimeMs = getTimeMs;
  }

  get size(): number {
    return this.#ends.size;
  }

  list(): End[] {
    return [...this.#ends.values()];
  }

  /** The end that is held for an id, also if it is no longer in force; null if there is none. */
  get(id: string): End | null {
    return this.#ends.get(id) ?? null;
  }

  /** The end that is in force for an incarnation; null if there is none. It may be that of an earlier or a later one. */
  find({ id, bornMs }: TargetIncarnation, nowMs: number): End | null {
    const known = this.get(id);
    if (known === null) {
      return null;
    }
    const isUnborn = known.bornMs === 0 || bornMs === 0;
    const ageMs = nowMs - this.#getTimeMs(known);
    return ageMs <= (isUnborn ? unbornRetentionMs : retentionMs) ? known : null;
  }

  /** Puts an end in place of the one that is held for its id, as the latest. */
  put(id: string, end: End): void {
    this.#ends.delete(id);
    this.#ends.set(id, end);
  }

  /** Drops ends that are too old, and the oldest of too many. */
  dropOld(nowMs: number): void {
    for (const [id, end] of this.#ends) {
      if (this.#ends.size <= maxEnds && nowMs - this.#getTimeMs(end) <= retentionMs) {
        return;
      }
      this.#ends.delete(id);
    }
  }

  clear(): void {
    this.#ends.clear();
  }
}
