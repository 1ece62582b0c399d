import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

interface LearnedEnd {
  /** Start of the incarnation that has ended, and with it all earlier ones of the id. */
  readonly bornMs: number;
  /** Sequence of the latest heartbeat by which the target drains; null once it has unregistered. */
  readonly drainSequence: number | null;
  readonly learnedAtMs: number;
}

/** As long as the coordinators keep their records of ends. */
const retentionMs = 600_000;
/** Without a start time, a target's next incarnation looks like the one that has ended. */
const unbornRetentionMs = 60_000;
/** Twice the number of targets that the design is for. The oldest ends are dropped beyond it. */
const maxEnds = 24_000;

/**
 * Ends of targets that this gateway has learned. They hold against every later list, so that coordinators that have lost their
 * records cannot bring a target back. A later incarnation, or a drain that is taken back, passes at once. Takes the current
 * time as a parameter.
 */
export class EndedTargets {
  /** By id, the one learned first at the start. */
  readonly #ends = new Map<string, LearnedEnd>();

  get size(): number {
    return this.#ends.size;
  }

  /** Learns that an incarnation has unregistered. */
  learnGone({ id, bornMs }: TargetIncarnation, nowMs: number): void {
    const known = this.#find({ id, bornMs }, nowMs);
    if (
      known === null ||
      known.bornMs < bornMs ||
      (known.bornMs === bornMs && known.drainSequence !== null)
    ) {
      this.#put(id, { bornMs, drainSequence: null, learnedAtMs: nowMs });
    }
  }

  /**
   * Learns from a listed target whether it drains, and returns it as what has been learned allows: null if its incarnation has
   * ended, as draining if the list has forgotten the drain.
   */
  check(target: TargetRecord, nowMs: number): TargetRecord | null {
    const { id, bornMs, sequence, isDraining } = target;
    const known = this.#find(target, nowMs);
    if (
      known !== null &&
      (known.bornMs > bornMs || (known.bornMs === bornMs && known.drainSequence === null))
    ) {
      return null;
    }
    const drainSequence = known?.bornMs === bornMs ? (known.drainSequence ?? -Infinity) : -Infinity;
    if (isDraining && sequence > drainSequence) {
      this.#put(id, { bornMs, drainSequence: sequence, learnedAtMs: nowMs });
    }
    return isDraining || sequence > drainSequence ? target : { ...target, isDraining: true };
  }

  #find({ id, bornMs }: TargetIncarnation, nowMs: number): LearnedEnd | null {
    const known = this.#ends.get(id);
    if (known === undefined) {
      return null;
    }
    const isUnborn = known.bornMs === 0 || bornMs === 0;
    return nowMs - known.learnedAtMs <= (isUnborn ? unbornRetentionMs : retentionMs) ? known : null;
  }

  #put(id: string, end: LearnedEnd): void {
    this.#ends.delete(id);
    this.#ends.set(id, end);
    for (const [oldId, { learnedAtMs }] of this.#ends) {
      if (this.#ends.size <= maxEnds && end.learnedAtMs - learnedAtMs <= retentionMs) {
        return;
      }
      this.#ends.delete(oldId);
    }
  }
}
