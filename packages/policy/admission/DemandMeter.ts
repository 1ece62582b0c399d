interface Meter {
  /** Sums since the last collection, in seconds of the limit. */
  requestsS: number;
  tokensS: number;
  demand: number;
  askedAtMs: number;
  isNew: boolean;
}

interface Reading {
  readonly team: string;
  readonly demand: number;
}

/** A team without requests for this long is not reported any more, and its share returns at the lease end. */
const idleAfterMs = 5000;
/** Weight of the newest reading; the mean reaches 94% of a step after four readings. */
const newestWeight = 0.5;

/** Measures what each team asks of this entry, in parts of the team's limit. */
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
      askedAtMs: nowMs,
      isNew: true,
    };
    this.#meters.set(team, meter);
    meter.requestsS += requestsS;
    meter.tokensS += tokensS;
    meter.askedAtMs = nowMs;
  }

  /** Teams that no collection has named yet, with the least demand that is worth a report. */
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
      if (nowMs - meter.askedAtMs > idleAfterMs) {
        this.#meters.delete(team);
        continue;
      }
      const newest = Math.max(meter.requestsS, meter.tokensS) / elapsedS;
      meter.demand += (newest - meter.demand) * newestWeight;
      meter.requestsS = 0;
      meter.tokensS = 0;
      meter.isNew = false;
    }
    return [...this.#meters].map(([team, { demand }]) => ({ team, demand }));
  }
}
