import type { TargetLife } from "@clementinemux/registry/TargetLife";
import type { TargetAnswer } from "./TargetAnswer";

interface Notice {
  readonly bornMs: number;
  readonly isLeaving: boolean;
  /** Until when the target wants no requests of this gateway. */
  readonly pausedUntilMs: number;
  readonly notedAtMs: number;
}

/** A target that is not listed may only be silent, so its statement is kept as long as the registry keeps its record. */
const unlistedMs = 60_000;

/**
 * What targets have told this gateway of themselves in their answers: that they leave, and for how long they want no
 * requests. Each statement counts for the life of the target that gave it, before the coordinators know. Has no clock.
 */
export class TargetNotices {
  readonly #notices = new Map<string, Notice>();

  /** Takes over what an answer says of the target that gave it. Returns whether the target has just begun to leave. */
  note({ id, bornMs }: TargetLife, answer: TargetAnswer, nowMs: number): boolean {
    const { isLeaving, pauseMs, isMisdirected } = answer;
    // A misdirected answer comes from another target, which has the address now.
    if (isMisdirected || (!isLeaving && pauseMs === null)) {
      return false;
    }
    const known = this.#find({ id, bornMs });
    const pausedUntilMs = Math.max(known?.pausedUntilMs ?? -Infinity, nowMs + (pauseMs ?? -Infinity));
    this.#notices.set(id, {
      bornMs,
      isLeaving: isLeaving || (known?.isLeaving ?? false),
      pausedUntilMs,
      notedAtMs: nowMs,
    });
    return isLeaving && known?.isLeaving !== true;
  }

  isLeaving(life: TargetLife): boolean {
    return this.#find(life)?.isLeaving ?? false;
  }

  /** Time until the target takes requests of this gateway again, in ms; 0 when it does now. */
  getPauseMs(life: TargetLife, nowMs: number): number {
    return Math.max(0, (this.#find(life)?.pausedUntilMs ?? -Infinity) - nowMs);
  }

  /** Targets that have said that they leave, for the coordinators. */
  listLeaving(): TargetLife[] {
    return [...this.#notices]
      .filter(([, { isLeaving }]) => isLeaving)
      .map(([id, { bornMs }]) => ({ id, bornMs }));
  }

  /** Forgets lives that are over: of targets that have started again, or have not been listed for long. */
  retain(listed: readonly TargetLife[], nowMs: number): void {
    const born = new Map(listed.map(({ id, bornMs }) => [id, bornMs]));
    for (const [id, { bornMs, notedAtMs }] of this.#notices) {
      const isOver = born.has(id) ? born.get(id) !== bornMs : nowMs - notedAtMs > unlistedMs;
      if (isOver) {
        this.#notices.delete(id);
      }
    }
  }

  #find({ id, bornMs }: TargetLife): Notice | null {
    const notice = this.#notices.get(id);
    return notice?.bornMs === bornMs ? notice : null;
  }
}
