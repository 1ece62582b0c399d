import { periodic } from "most";
import type { Clock } from "@clementinemux/common/Clock";
import { TimeHistogram } from "./TimeHistogram";

/** Long enough that the wake-ups take no significant CPU time on a small machine. */
const sampleIntervalMs = 1000;

/** Measures the event loop delay of this process: how late its timers fire. */
export class LoopDelayMeter {
  readonly histogram: TimeHistogram;
  readonly #clock: Clock;
  #isStopped = false;

  constructor(name: string, clock: Clock) {
    this.histogram = new TimeHistogram(name);
    this.#clock = clock;
  }

  start(): void {
    let dueAtMs = this.#clock.monotonicMs() + sampleIntervalMs;
    void periodic(sampleIntervalMs)
      .skip(1)
      .takeWhile(() => !this.#isStopped)
      .observe(() => {
        const nowMs = this.#clock.monotonicMs();
        this.histogram.observeMs(Math.max(0, nowMs - dueAtMs));
        dueAtMs = nowMs + sampleIntervalMs;
      });
  }

  stop(): void {
    this.#isStopped = true;
  }
}
