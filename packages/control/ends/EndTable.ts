import { RecentEnds } from "@clementinemux/registry/RecentEnds";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { EndReport } from "./EndReport";
import { EndState } from "./EndState";
import type { TargetEnd } from "./TargetEnd";

/** The registry keeps records of unregistered targets as long. */
const recentMs = 60_000;

/** Recorded ends of targets: part of the state machine of the `routes` log. Has no I/O and takes the time of day as a parameter. */
export class EndTable {
  readonly #ends = new RecentEnds<TargetEnd>(({ recordedAtWallMs }) => recordedAtWallMs);

  get size(): number {
    return this.#ends.size;
  }

  /** Applies committed ends in the order of the log, and drops those that are too old by the stamps of the new ones. */
  apply(ends: readonly TargetEnd[]): void {
    for (const end of ends) {
      const known = this.#ends.find(end, end.recordedAtWallMs);
      if (known === null || isLater(end, known)) {
        this.#ends.put(end.id, end);
      }
      this.#ends.dropOld(end.recordedAtWallMs);
    }
  }

  /** Replaces all ends by those of a snapshot. */
  restore(ends: readonly TargetEnd[]): void {
    this.#ends.clear();
    for (const end of ends) {
      this.#ends.put(end.id, end);
    }
  }

  list(): TargetEnd[] {
    return this.#ends.list();
  }

  /** Ends that were recorded within the last minute. */
  listRecent(nowWallMs: number): TargetEnd[] {
    return this.list().filter(({ recordedAtWallMs }) => nowWallMs - recordedAtWallMs <= recentMs);
  }

  /** Whether a reported end, or a later one of the same target, is recorded. */
  covers({ id, bornMs, isGone, sequence }: EndReport, nowWallMs: number): boolean {
    if (bornMs === null) {
      return false;
    }
    const known = this.#ends.find({ id, bornMs }, nowWallMs);
    if (known === null) {
      return false;
    }
    if (known.bornMs !== bornMs) {
      return known.bornMs > bornMs;
    }
    // A drain that is reported later may follow one that was taken back.
    return known.isGone || (!isGone && sequence <= known.sequence);
  }

  /** Start of the incarnation whose end is recorded for an id, the latest one that has ended; -Infinity if there is none. */
  getBornMs(id: string): number {
    return this.#ends.get(id)?.bornMs ?? -Infinity;
  }

  /** Sequence of the heartbeat that reported the recorded drain of a target's incarnation; null if there is none. */
  getDrainSequence(incarnation: TargetIncarnation, nowWallMs: number): number | null {
    const known = this.#ends.find(incarnation, nowWallMs);
    return known?.bornMs === incarnation.bornMs && !known.isGone ? known.sequence : null;
  }

  /** State of a target by its heartbeat, which may be late. */
  getState({ id, bornMs, sequence }: TargetRecord, nowWallMs: number): EndState {
    const known = this.#ends.find({ id, bornMs }, nowWallMs);
    if (known === null || known.bornMs < bornMs) {
      return EndState.Open;
    }
    if (known.isGone || known.bornMs > bornMs) {
      return EndState.Ended;
    }
    // A target may take a drain back with a later heartbeat.
    return sequence <= known.sequence ? EndState.Draining : EndState.Open;
  }
}

function isLater(left: TargetEnd, right: TargetEnd): boolean {
  if (left.bornMs !== right.bornMs) {
    return left.bornMs > right.bornMs;
  }
  if (left.isGone !== right.isGone) {
    return left.isGone;
  }
  return left.sequence > right.sequence || left.isGone;
}
