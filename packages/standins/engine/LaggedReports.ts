import type { Random } from "@clementinemux/common/Random";

interface CacheEvent {
  readonly sequence: number;
  readonly block: number;
  readonly stored: boolean;
}

interface LaggedReportsOptions {
  readonly reportLagMs: number;
  readonly eventDelayMs: number;
  readonly eventLossShare: number;
  readonly random: Random;
}

interface Timed<Value> {
  readonly atMs: number;
  readonly value: Value;
}

const keptCount = 1000;

/** What the engine publishes about itself: load reports with a lag, cache events late and with gaps. */
export class LaggedReports<Report> {
  readonly #options: LaggedReportsOptions;
  readonly #reports: Timed<Report>[] = [];
  readonly #events: Timed<CacheEvent>[] = [];
  #nextSequence = 1;

  constructor(options: LaggedReportsOptions) {
    this.#options = options;
  }

  addReport(value: Report, nowMs: number): void {
    this.#reports.push({ atMs: nowMs, value });
    if (this.#reports.length > keptCount) {
      this.#reports.shift();
    }
  }

  /** The newest report that is older than the lag; the oldest when none is. */
  getReport(nowMs: number): Report | null {
    const old = this.#reports.findLast(({ atMs }) => atMs <= nowMs - this.#options.reportLagMs);
    return (old ?? this.#reports[0])?.value ?? null;
  }

  addCacheEvent(block: number, stored: boolean, nowMs: number): void {
    const sequence = this.#nextSequence;
    this.#nextSequence += 1;
    if (this.#options.random() < this.#options.eventLossShare) {
      return;
    }
    this.#events.push({ atMs: nowMs + this.#options.eventDelayMs, value: { sequence, block, stored } });
    if (this.#events.length > keptCount) {
      this.#events.shift();
    }
  }

  getCacheEvents(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.#events
      .filter(({ atMs, value }) => atMs <= nowMs && value.sequence > afterSequence)
      .map(({ value }) => value);
  }
}
