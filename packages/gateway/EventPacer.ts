interface EventPacerOptions {
  /** Longest time that an event is held back. With 0 every event is passed on at once. */
  readonly maxHoldMs: number;
  /** Longest pause that the route allows; 0 when it names none. */
  readonly gapObjectiveMs: number;
}

/** Share of the allowed pause that is aimed at; the rest is for timers and the way to the caller. */
const goalShare = 0.93;

/**
 * Chooses when the events of one stream are passed on, as a receiver of audio does with packets: after the first one they
 * are held back a little while the target is quick, so that a pause of the target reaches the caller shortened.
 * Answers the load of passes that become slow for a second or so, as when other experts are in demand. Has no clock.
 */
export class EventPacer {
  readonly #options: EventPacerOptions;
  #passedOnAtMs: number | null = null;

  constructor(options: EventPacerOptions) {
    this.#options = options;
  }

  /** Time at which an event that arrives at `nowMs` is to be passed on: at once, or at most `maxHoldMs` later. */
  schedule(nowMs: number): number {
    const { maxHoldMs, gapObjectiveMs } = this.#options;
    const isFirst = this.#passedOnAtMs === null;
    const aimMs = (this.#passedOnAtMs ?? nowMs) + gapObjectiveMs * goalShare;
    const isHeld = !isFirst && gapObjectiveMs > 0;
    const atMs = isHeld ? Math.min(nowMs + maxHoldMs, Math.max(nowMs, aimMs)) : nowMs;
    this.#passedOnAtMs = atMs;
    return atMs;
  }
}
