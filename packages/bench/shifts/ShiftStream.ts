import { EventPacer } from "@clementinemux/gateway/EventPacer";

interface ShiftStreamOptions {
  readonly arrivedAtMs: number;
  readonly events: number;
  readonly promptTokens: number;
  readonly maxHoldMs: number;
  readonly gapObjectiveMs: number;
}

/** One simulated stream, with the gaps between events at its caller. */
export class ShiftStream {
  readonly promptTokens: number;
  readonly arrivedAtMs: number;
  readonly #pacer: EventPacer;
  readonly #gapObjectiveMs: number;
  #left: number;
  #lastAtMs: number | null = null;
  #firstAfterMs = 0;
  #longestGapMs = 0;

  constructor({ arrivedAtMs, events, promptTokens, maxHoldMs, gapObjectiveMs }: ShiftStreamOptions) {
    this.arrivedAtMs = arrivedAtMs;
    this.promptTokens = promptTokens;
    this.#left = events;
    this.#gapObjectiveMs = gapObjectiveMs;
    this.#pacer = new EventPacer({ maxHoldMs, gapObjectiveMs });
  }

  get isNew(): boolean {
    return this.#lastAtMs === null;
  }

  /** Delivers the event of a forward pass through the pacer. Returns whether it was the last event. */
  push(nowMs: number): boolean {
    const atMs = this.#pacer.schedule(nowMs);
    if (this.#lastAtMs === null) {
      this.#firstAfterMs = atMs - this.arrivedAtMs;
    } else {
      this.#longestGapMs = Math.max(this.#longestGapMs, atMs - this.#lastAtMs);
    }
    this.#lastAtMs = atMs;
    this.#left -= 1;
    return this.#left <= 0;
  }

  isOnTime(objectiveMs: number): boolean {
    return this.#firstAfterMs <= objectiveMs && this.#longestGapMs <= this.#gapObjectiveMs;
  }
}
