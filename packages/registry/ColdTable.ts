import type { ColdTarget } from "./ColdTarget";
import type { TargetIncarnation } from "./TargetIncarnation";

interface ColdState {
  readonly bornMs: number;
  readonly sequence: number;
  readonly untilMs: number;
}

/** A statement is kept for this long after the cold time has ended, so that an early end reaches every process. */
const endedKeepMs = 3000;
/** Heartbeats take different times on their way, so the ends that they name differ by some ms. */
const jitterMs = 300;

/**
 * Targets that are cold or were just now, by the newest heartbeat of each that says so. Counts down by the clock of this
 * process: the current time is a parameter.
 */
export class ColdTable {
  readonly #states = new Map<string, ColdState>();

  get isEmpty(): boolean {
    return this.#states.size === 0;
  }

  /**
   * Records what the newest heartbeat of a target states. Returns whether that changes when the target is warm, by more than
   * the count-down does.
   */
  note({ id, bornMs, sequence, leftMs }: ColdTarget, nowMs: number): boolean {
    const known = this.#states.get(id);
    if (known !== undefined && isNewer(known, bornMs, sequence)) {
      return false;
    }
    const isSame = known?.bornMs === bornMs;
    const before = isSame ? known.untilMs : -Infinity;
    const isRepeated = isSame && known.sequence === sequence;
    const stated = nowMs + leftMs;
    // A statement that arrives again by another way was longer on its way.
    const untilMs = isRepeated ? Math.min(known.untilMs, stated) : stated;
    if (untilMs > nowMs || (isSame && known.untilMs > nowMs - endedKeepMs)) {
      this.#states.set(id, { bornMs, sequence, untilMs });
    } else {
      this.#states.delete(id);
    }
    return Math.abs(Math.max(nowMs, untilMs) - Math.max(nowMs, before)) > jitterMs;
  }

  /** Applies the statements that another process knows of. Returns those that change when a target is warm. */
  merge(stated: readonly ColdTarget[], nowMs: number): ColdTarget[] {
    return stated.filter((item) => this.note(item, nowMs));
  }

  /** Time for which an incarnation stays cold, in ms; 0 when it is warm or not known. */
  getLeftMs({ id, bornMs }: TargetIncarnation, nowMs: number): number {
    const state = this.#states.get(id);
    return state?.bornMs === bornMs ? Math.max(0, state.untilMs - nowMs) : 0;
  }

  /** Cold targets, and those whose cold time has just ended. */
  list(nowMs: number): ColdTarget[] {
    this.#expire(nowMs);
    return [...this.#states].map(([id, { bornMs, sequence, untilMs }]) => ({
      id,
      bornMs,
      sequence,
      leftMs: Math.max(0, untilMs - nowMs),
    }));
  }

  /** Number of cold targets. */
  count(nowMs: number): number {
    return [...this.#states.values()].filter(({ untilMs }) => untilMs > nowMs).length;
  }

  #expire(nowMs: number): void {
    for (const [id, { untilMs }] of this.#states) {
      if (untilMs <= nowMs - endedKeepMs) {
        this.#states.delete(id);
      }
    }
  }
}

function isNewer(known: ColdState, bornMs: number, sequence: number): boolean {
  return known.bornMs > bornMs || (known.bornMs === bornMs && known.sequence > sequence);
}
