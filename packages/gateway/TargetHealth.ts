interface Judgement {
  /** Smoothed share of requests that failed because of the target, 0 to 1. */
  badShare: number;
  /** Connection failures in a row. */
  failures: number;
  avoidedUntilMs: number;
}

const smoothing = 0.2;
const firstAvoidMs = 400;
const maxAvoidMs = 4000;
/** If fewer than this share of a service's targets could be used, avoidance is ignored. */
const leastUsedShare = 0.5;
const leastWeight = 0.03;

/**
 * Rates targets by the results of requests sent to them, not by the health that they report themselves. Pure:
 * the caller passes the current time.
 */
export class TargetHealth {
  readonly #judgements = new Map<string, Judgement>();

  noteGood(id: string): void {
    const judgement = this.#get(id);
    judgement.failures = 0;
    judgement.avoidedUntilMs = 0;
    judgement.badShare *= 1 - smoothing;
  }

  /** The response was invalid, incomplete or a failure. */
  noteBad(id: string): void {
    const judgement = this.#get(id);
    judgement.badShare += (1 - judgement.badShare) * smoothing;
  }

  /**
   * No connection was established, or it broke before a response. The avoidance time doubles with each
   * failure in a row.
   */
  noteUnreachable(id: string, nowMs: number): void {
    const judgement = this.#get(id);
    judgement.failures += 1;
    const avoidMs = Math.min(maxAvoidMs, firstAvoidMs * 2 ** (judgement.failures - 1));
    judgement.avoidedUntilMs = nowMs + avoidMs;
    this.noteBad(id);
  }

  /** Excludes targets that are being avoided, as long as enough others remain. */
  select<Target extends { readonly id: string }>(
    targets: readonly Target[],
    nowMs: number,
  ): readonly Target[] {
    const usable = targets.filter(({ id }) => (this.#judgements.get(id)?.avoidedUntilMs ?? 0) <= nowMs);
    return usable.length >= targets.length * leastUsedShare ? usable : targets;
  }

  /** Relative preference of a target, up to 1. */
  getWeight(id: string): number {
    const badShare = this.#judgements.get(id)?.badShare ?? 0;
    return Math.max(leastWeight, (1 - badShare) ** 3);
  }

  /** Removes the records of targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#judgements.keys()) {
      if (!ids.has(id)) {
        this.#judgements.delete(id);
      }
    }
  }

  #get(id: string): Judgement {
    const known = this.#judgements.get(id);
    if (known !== undefined) {
      return known;
    }
    const judgement = { badShare: 0, failures: 0, avoidedUntilMs: 0 };
    this.#judgements.set(id, judgement);
    return judgement;
  }
}
