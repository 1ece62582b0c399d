import { RecentEnds } from "@clementinemux/registry/RecentEnds";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

interface LearnedEnd {
  /** Start of the incarnation that has ended, and with it all earlier ones of the id. */
  readonly bornMs: number;
  /** Sequence of the latest heartbeat by which the target drains; null once it has unregistered. */
  readonly drainSequence: number | null;
  readonly learnedAtMs: number;
}

/**
 * Ends of targets that this gateway has learned. They hold against every later list, so that coordinators that have lost their
 * records cannot bring a target back. A later incarnation, or a drain that is taken back, passes at once. Takes the current
 * time as a parameter.
 */
export class EndedTargets {
  readonly #ends = new RecentEnds<LearnedEnd>(({ learnedAtMs }) => learnedAtMs);

  get size(): number {
    return this.#ends.size;
  }

  /** Learns that an incarnation has unregistered. */
  learnGone({ id, bornMs }: TargetIncarnation, nowMs: number): void {
    if (!hasEnded(this.#ends.find({ id, bornMs }, nowMs), bornMs)) {
      this.#put(id, { bornMs, drainSequence: null, learnedAtMs: nowMs });
    }
  }

  /**
   * Learns from a listed target whether it drains, and returns it as what has been learned allows: null if its incarnation has
   * ended, as draining if the list has forgotten the drain.
   */
  check(target: TargetRecord, nowMs: number): TargetRecord | null {
    const { id, bornMs, sequence, isDraining } = target;
    const known = this.#ends.find(target, nowMs);
    if (hasEnded(known, bornMs)) {
      return null;
    }
    const drainSequence = known?.bornMs === bornMs ? (known.drainSequence ?? -Infinity) : -Infinity;
    if (isDraining && sequence > drainSequence) {
      this.#put(id, { bornMs, drainSequence: sequence, learnedAtMs: nowMs });
    }
    return isDraining || sequence > drainSequence ? target : { ...target, isDraining: true };
  }

  #put(id: string, end: LearnedEnd): void {
    this.#ends.put(id, end);
    this.#ends.dropOld(end.learnedAtMs);
  }
}

/** Whether the incarnation that started at `bornMs`, or a later one, is known to have ended. */
function hasEnded(known: LearnedEnd | null, bornMs: number): boolean {
  return (
    known !== null && (known.bornMs > bornMs || (known.bornMs === bornMs && known.drainSequence === null))
  );
}
