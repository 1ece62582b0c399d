import { periodic } from "most";
import type { Clock } from "@clementinemux/common/Clock";
import { TimeHistogram } from "./TimeHistogram";

/** Few enough wake-ups not to matter for the processor time of a small machine. */
const intervalMs = 1000;

/** Measures how late timers run in this process. */
export class LoopDelayMeter {
  readonly histogram: TimeHistogram;
  readonly #clock: Clock;
  #isStopped = false;

  constructor(name: string, clock: Clock) {
    this.histogram = new TimeHistogram(name);
    this.#clock = clock;
  }

  start(): void {
    let dueAtMs = this.#clock.monotonicMs() + intervalMs;
    void periodic(intervalMs)
      .skip(1)
      .takeWhile(() => !this.#isStopped)
      .observe(() => {
        const nowMs = this.#clock.monotonicMs();
        this.histogram.observeMs(Math.max(0, nowMs - dueAtMs));
        dueAtMs = nowMs + intervalMs;
      });
  }

  stop(): void {
    this.#isStopped = true;
  }
}
