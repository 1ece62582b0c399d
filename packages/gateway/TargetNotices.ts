import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetResponse } from "./TargetResponse";

interface Notice {
  readonly bornMs: number;
  readonly isLeaving: boolean;
  /** Until when the target wants no requests from this gateway. */
  readonly pausedUntilMs: number;
  readonly notedAtMs: number;
}

/**
 * A target that is not listed may only be unresponsive, so its notice is kept as long as the registry keeps
 * its record.
 */
const maxUnlistedMs = 60_000;

/**
 * What targets have stated about themselves in their responses to this gateway: that they are leaving, and
 * for how long they want no requests. A notice applies to the incarnation of the target that gave it, and
 * takes effect before the coordinators know. Takes the current time as a parameter.
 */
export class TargetNotices {
  readonly #notices = new Map<string, Notice>();

  /**
   * Records what a response states about its target. Returns whether the target has just started to leave.
   */
  note({ id, bornMs }: TargetIncarnation, response: TargetResponse, nowMs: number): boolean {
    const { isLeaving, pauseMs, isMisdirected } = response;
    // A misdirected response comes from another target, which has the address now.
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

  isLeaving(incarnation: TargetIncarnation): boolean {
    return this.#find(incarnation)?.isLeaving ?? false;
  }

  /** Time until the target accepts requests from this gateway again, in ms; 0 when it accepts them now. */
  getPauseMs(incarnation: TargetIncarnation, nowMs: number): number {
    return Math.max(0, (this.#find(incarnation)?.pausedUntilMs ?? -Infinity) - nowMs);
  }

  /** Targets that have stated that they are leaving, for the coordinators. */
  listLeaving(): TargetIncarnation[] {
    return [...this.#notices]
      .filter(([, { isLeaving }]) => isLeaving)
      .map(([id, { bornMs }]) => ({ id, bornMs }));
  }

  /**
   * Removes notices of ended incarnations: the target has restarted, or has not been listed for a long time.
   */
  retain(listed: readonly TargetIncarnation[], nowMs: number): void {
    const listedBornMs = new Map(listed.map(({ id, bornMs }) => [id, bornMs]));
    for (const [id, { bornMs, notedAtMs }] of this.#notices) {
      const hasEnded = listedBornMs.has(id)
        ? listedBornMs.get(id) !== bornMs
        : nowMs - notedAtMs > maxUnlistedMs;
      if (hasEnded) {
        this.#notices.delete(id);
      }
    }
  }

  #find({ id, bornMs }: TargetIncarnation): Notice | null {
    const notice = this.#notices.get(id);
    return notice?.bornMs === bornMs ? notice : null;
  }
}
