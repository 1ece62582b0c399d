/** Slowdowns reported longer ago than this are dropped, so the target counts as healthy. */
const maxAgeMs = 2000;

interface ReportedSlowdown {
  readonly slowdown: number;
  readonly reportedAtMs: number;
}

/**
 * Slowdown of targets, as a multiple of the usual time (1 = healthy). Only slow targets are kept. Has no
 * clock.
 */
export class SlowdownTable {
  readonly #slowdowns = new Map<string, ReportedSlowdown>();

  set(id: string, slowdown: number, nowMs: number): void {
    if (slowdown > 1) {
      this.#slowdowns.set(id, { slowdown, reportedAtMs: nowMs });
    } else {
      this.#slowdowns.delete(id);
    }
  }

  /** Applies the list of another process. */
  merge(slowdowns: Readonly<Record<string, number>>, nowMs: number): void {
    for (const [id, slowdown] of Object.entries(slowdowns)) {
      this.set(id, slowdown, nowMs);
    }
  }

  list(nowMs: number): Record<string, number> {
    const slowdowns = new Map<string, number>();
    for (const [id, { slowdown, reportedAtMs }] of this.#slowdowns) {
      if (nowMs - reportedAtMs < maxAgeMs) {
        slowdowns.set(id, slowdown);
      } else {
        this.#slowdowns.delete(id);
      }
    }
    return Object.fromEntries(slowdowns);
  }
}
