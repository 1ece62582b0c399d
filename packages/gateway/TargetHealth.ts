interface HealthRecord {
  /** Smoothed share of requests that failed because of the target, 0 to 1. */
  badShare: number;
  /** Connection failures in a row. */
  failures: number;
  avoidedUntilMs: number;
}

const smoothing = 0.2;
const initialAvoidMs = 400;
const maxAvoidMs = 4000;
/** If fewer than this share of a service's targets could be used, avoidance is ignored. */
const minUsableShare = 0.5;
const minWeight = 0.03;

/**
 * Rates targets by the results of requests sent to them, not by the health that they report themselves. Takes
 * the current time as a parameter.
 */
export class TargetHealth {
  readonly #records = new Map<string, HealthRecord>();

  noteSuccess(id: string): void {
    const record = this.#get(id);
    record.failures = 0;
    record.avoidedUntilMs = 0;
    record.badShare *= 1 - smoothing;
  }

  /** The response was invalid, incomplete or a failure. */
  noteFailure(id: string): void {
    const record = this.#get(id);
    record.badShare += (1 - record.badShare) * smoothing;
  }

  /**
   * No connection was established, or it broke before a response. The avoidance time doubles with each
   * failure in a row.
   */
  noteUnreachable(id: string, nowMs: number): void {
    const record = this.#get(id);
    record.failures += 1;
    const avoidMs = Math.min(maxAvoidMs, initialAvoidMs * 2 ** (record.failures - 1));
    record.avoidedUntilMs = nowMs + avoidMs;
    this.noteFailure(id);
  }

  /** Excludes targets that are being avoided, as long as enough others remain. */
  select<Target extends { readonly id: string }>(
    targets: readonly Target[],
    nowMs: number,
  ): readonly Target[] {
    const usable = targets.filter(({ id }) => (this.#records.get(id)?.avoidedUntilMs ?? 0) <= nowMs);
    return usable.length >= targets.length * minUsableShare ? usable : targets;
  }

  /** Relative preference of a target, up to 1. */
  getWeight(id: string): number {
    const badShare = this.#records.get(id)?.badShare ?? 0;
    return Math.max(minWeight, (1 - badShare) ** 3);
  }

  /** Removes the records of targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) {
        this.#records.delete(id);
      }
    }
  }

  #get(id: string): HealthRecord {
    const known = this.#records.get(id);
    if (known !== undefined) {
      return known;
    }
    const record = { badShare: 0, failures: 0, avoidedUntilMs: 0 };
    this.#records.set(id, record);
    return record;
  }
}
