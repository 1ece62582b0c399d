import type { AnsweredCause } from "./AnsweredCause";

/** A part that was answered within this time is not a suspect of a single crash. */
const memoryMs = 300_000;
/** The parts that were answered the longest time ago are forgotten beyond this number. */
const maxParts = 4096;

/**
 * Prompt parts that targets have recently answered, with the time. Bounded, since callers choose the parts. Takes the
 * current time as a parameter.
 */
export class AnsweredCauses {
  /** In the order of their last answers. */
  readonly #answeredAtMs = new Map<string, number>();

  note(part: string, atMs: number): void {
    const knownAtMs = this.#answeredAtMs.get(part) ?? -Infinity;
    this.#answeredAtMs.delete(part);
    this.#answeredAtMs.set(part, Math.max(knownAtMs, atMs));
    if (this.#answeredAtMs.size > maxParts) {
      const [oldest] = this.#answeredAtMs.keys();
      this.#answeredAtMs.delete(oldest ?? "");
    }
  }

  /** When the part was last answered; null if not within the last five minutes. */
  find(part: string, nowMs: number): number | null {
    const atMs = this.#answeredAtMs.get(part) ?? null;
    return atMs !== null && nowMs - atMs < memoryMs ? atMs : null;
  }

  /** Those of the parts that were answered in that time, for another process. */
  list(parts: readonly string[], nowMs: number): AnsweredCause[] {
    return parts.flatMap((part) => {
      const atMs = this.find(part, nowMs);
      return atMs === null ? [] : [{ part, ageMs: nowMs - atMs }];
    });
  }
}
