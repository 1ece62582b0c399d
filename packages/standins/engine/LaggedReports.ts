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

const maxEntryCount = 1000;

/** Load reports that are published with a lag, and cache events that are delayed and may be lost. */
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
    if (this.#reports.length > maxEntryCount) {
      this.#reports.shift();
    }
  }

  /** Newest report that is at least as old as the lag, or else the oldest one; null without reports. */
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
    if (this.#events.length > maxEntryCount) {
      this.#events.shift();
    }
  }

  getCacheEvents(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.#events
      .filter(({ atMs, value }) => atMs <= nowMs && value.sequence > afterSequence)
      .map(({ value }) => value);
  }
}
