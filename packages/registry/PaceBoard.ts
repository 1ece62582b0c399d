/** Paces that were reported longer ago than this count as 1. */
const validMs = 2000;

interface NotedPace {
  readonly pace: number;
  readonly notedAtMs: number;
}

/** Times that targets take for the same work, 1 for a healthy one. Only slow ones are kept. Has no clock. */
export class PaceBoard {
  readonly #paces = new Map<string, NotedPace>();

  note(id: string, pace: number, nowMs: number): void {
    if (pace > 1) {
      this.#paces.set(id, { pace, notedAtMs: nowMs });
    } else {
      this.#paces.delete(id);
    }
  }

  /** Takes over another process's list. */
  take(paces: Readonly<Record<string, number>>, nowMs: number): void {
    for (const [id, pace] of Object.entries(paces)) {
      this.note(id, pace, nowMs);
    }
  }

  list(nowMs: number): Record<string, number> {
    const paces: Record<string, number> = {};
    for (const [id, { pace, notedAtMs }] of this.#paces) {
      if (nowMs - notedAtMs < validMs) {
        paces[id] = pace;
      } else {
        this.#paces.delete(id);
      }
    }
    return paces;
  }
}
