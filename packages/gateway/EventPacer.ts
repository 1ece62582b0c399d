interface EventPacerOptions {
  /** Longest time that an event is delayed, in ms. With 0 every event is forwarded at once. */
  readonly maxHoldMs: number;
  /** Longest pause that the route allows, in ms; 0 when it sets none. */
  readonly gapObjectiveMs: number;
}

/**
 * Share of the allowed pause that is aimed at; the rest covers timer delays and the transfer to the caller.
 */
const targetGapShare = 0.93;

/**
 * Schedules the events of one stream like a jitter buffer: after the first event, events are delayed a little
 * while the target is fast, so that a pause of the target reaches the caller shortened. This bridges forward
 * passes that are slow for a second or so, as after a change in the demand for experts. Takes the current
 * time as a parameter.
 */
export class EventPacer {
  readonly #options: EventPacerOptions;
  #forwardedAtMs: number | null = null;

  constructor(options: EventPacerOptions) {
    this.#options = options;
  }

  /**
   * Time at which an event that arrives at `nowMs` is to be forwarded: at once, or at most `maxHoldMs` later.
   */
  schedule(nowMs: number): number {
    const { maxHoldMs, gapObjectiveMs } = this.#options;
    const isFirst = this.#forwardedAtMs === null;
    const targetMs = (this.#forwardedAtMs ?? nowMs) + gapObjectiveMs * targetGapShare;
    const isDelayed = !isFirst && gapObjectiveMs > 0;
    const atMs = isDelayed ? Math.min(nowMs + maxHoldMs, Math.max(nowMs, targetMs)) : nowMs;
    this.#forwardedAtMs = atMs;
    return atMs;
  }
}
