interface Meter {
  /**
   * Sums since the last collection, as the time in seconds for which the team's limit permits this amount.
   */
  requestsS: number;
  tokensS: number;
  demand: number;
  lastRequestAtMs: number;
  isNew: boolean;
}

interface Reading {
  readonly team: string;
  readonly demand: number;
}

/** A team without requests for this long is no longer reported; its share is released when the lease ends. */
const idleAfterMs = 5000;
/**
 * Weight of the newest reading in the moving average, which reaches 94% of a step change after four readings.
 */
const newestReadingWeight = 0.5;

/** Measures the demand of each team at this entry, as a share of the team's limit. */
export class DemandMeter {
  readonly #meters = new Map<string, Meter>();
  #collectedAtMs: number;

  constructor(startedAtMs: number) {
    this.#collectedAtMs = startedAtMs;
  }

  add(team: string, requestsS: number, tokensS: number, nowMs: number): void {
    const meter = this.#meters.get(team) ?? {
      requestsS: 0,
      tokensS: 0,
      demand: 0,
      lastRequestAtMs: nowMs,
      isNew: true,
    };
    this.#meters.set(team, meter);
    meter.requestsS += requestsS;
    meter.tokensS += tokensS;
    meter.lastRequestAtMs = nowMs;
  }

  /**
   * Teams that have not been collected yet, with the demand of their requests so far, counted over one
   * second.
   */
  collectNew(): readonly Reading[] {
    const found = [...this.#meters].filter(([, { isNew }]) => isNew);
    return found.map(([team, meter]) => {
      meter.isNew = false;
      meter.demand = Math.max(meter.requestsS, meter.tokensS);
      return { team, demand: meter.demand };
    });
  }

  collect(nowMs: number): readonly Reading[] {
    const elapsedS = Math.max(1, nowMs - this.#collectedAtMs) / 1000;
    this.#collectedAtMs = nowMs;
    for (const [team, meter] of this.#meters) {
      if (nowMs - meter.lastRequestAtMs > idleAfterMs) {
        this.#meters.delete(team);
        continue;
      }
      const newest = Math.max(meter.requestsS, meter.tokensS) / elapsedS;
      meter.demand += (newest - meter.demand) * newestReadingWeight;
      meter.requestsS = 0;
      meter.tokensS = 0;
      meter.isNew = false;
    }
    return [...this.#meters].map(([team, { demand }]) => ({ team, demand }));
  }
}
