import type { Suspicion } from "./Suspicion";

/**
 * How long a part is suspected, by the crashes that are attributed to it. A suspicion after one crash may be wrong, and
 * ends soon; if it was right, its end costs another crash.
 */
const suspicionMs: readonly number[] = [30_000, 120_000, 600_000];
/** Crashes within this time may have one cause, as those of several targets at once. */
const sameCauseMs = 2000;
/** A suspicion that was lifted is reported for this long, so that all processes learn of it. */
const liftedMs = 20_000;

/** What is known of one prompt part. Pure: the caller passes the current time. */
export class CauseRecord {
  readonly part: string;
  #crashes = 0;
  #sinceMs = -Infinity;
  #untilMs = -Infinity;
  #answeredAtMs = -Infinity;
  #candidateCrashes = 0;
  #candidateAtMs = -Infinity;

  constructor(part: string) {
    this.part = part;
  }

  /** Crashes that are attributed to the part. */
  get crashes(): number {
    return this.#crashes;
  }

  /** How much would be lost with this record. */
  get weight(): number {
    return this.#crashes * suspicionMs.length + this.#candidateCrashes;
  }

  /** Counts a crash at which the part was one of several candidates. Returns the crashes since it was last answered. */
  noteCandidate(atMs: number): number {
    if (atMs - this.#candidateAtMs >= sameCauseMs) {
      this.#candidateCrashes = this.#answeredAtMs > this.#candidateAtMs ? 1 : this.#candidateCrashes + 1;
      this.#candidateAtMs = atMs;
    }
    return this.#candidateCrashes;
  }

  suspect(nowMs: number): void {
    this.#crashes = this.#isLifted ? 1 : this.#crashes + 1;
    this.#candidateCrashes = 0;
    const forMs = suspicionMs[Math.min(this.#crashes, suspicionMs.length) - 1] ?? 0;
    this.#sinceMs = nowMs;
    this.#untilMs = nowMs + forMs;
  }

  noteAnswered(atMs: number): void {
    this.#answeredAtMs = Math.max(this.#answeredAtMs, atMs);
  }

  /** Whether the part was suspected when a target crashed at `atMs`, or has become so since. */
  isSuspectedAt(atMs: number, nowMs: number): boolean {
    return !this.#isLifted && this.#untilMs > Math.min(atMs, nowMs);
  }

  mergeSuspicion({ crashes, ageMs, leftMs }: Suspicion, nowMs: number): void {
    if (crashes > this.#crashes) {
      this.#crashes = crashes;
      this.#sinceMs = nowMs - ageMs;
      this.#untilMs = nowMs + leftMs;
    }
  }

  /** Null if the part has never been suspected, or not for long. */
  getSuspicion(nowMs: number): Suspicion | null {
    const isOver = this.#untilMs <= nowMs || (this.#isLifted && nowMs - this.#answeredAtMs > liftedMs);
    if (this.#crashes === 0 || isOver) {
      return null;
    }
    const isLifted = this.#isLifted;
    const leftMs = isLifted ? 0 : this.#untilMs - nowMs;
    return { part: this.part, crashes: this.#crashes, ageMs: nowMs - this.#sinceMs, leftMs, isLifted };
  }

  /** A target that begins to write an answer on a part that crashes targets does not go on. */
  get #isLifted(): boolean {
    return this.#answeredAtMs > this.#sinceMs;
  }
}
