import { CauseKind } from "./CauseKind";
import type { Suspicion } from "./Suspicion";
import { getCauseKind } from "./getCauseKind";
import { sameCauseMs } from "./sameCauseMs";

/**
 * How long a cause is suspected, by the crashes that are attributed to it. The end of a right suspicion costs another crash.
 * A wrong one takes a part from all its callers, and a request only from the one that repeats it, so that it may last longer.
 */
const suspicionMs: Readonly<Record<CauseKind, readonly number[]>> = {
  [CauseKind.Part]: [30_000, 120_000, 600_000],
  [CauseKind.Request]: [120_000, 600_000],
};
/**
 * How long a request is suspected that was with another one at all its crashes, so that it may be sound. The next crash or
 * answer tells them apart.
 */
const ambiguousMs = 15_000;
/** A suspicion that was lifted is reported for this long, so that all processes learn of it. */
const liftedMs = 20_000;
/** A request that was suspected within this time is suspected again at its first crash. */
const relapseMs = 3_600_000;
/** A crash within this time after the suspicion began may be one that it rests on, reported late. */
const settlingMs = 500;
/** Reports of two crashes may take times to arrive that differ by this much. */
const transitMs = 10;
const maxPresences = 8;
const maxReasons = 8;

interface Presence {
  /** When the target crashed. */
  readonly atMs: number;
  /** When the request was sent to it. */
  readonly sentAtMs: number;
}

/** What is known of one prompt part or request. Pure: the caller passes the current time. */
export class CauseRecord {
  readonly key: string;
  readonly #kind: CauseKind;
  #crashes = 0;
  #sinceMs = -Infinity;
  #untilMs = -Infinity;
  #answeredAtMs = -Infinity;
  #withdrawnAtMs = -Infinity;
  #candidateCrashes = 0;
  #candidateAtMs = -Infinity;
  /** Crashes since the last answer at which the cause was present. */
  readonly #presences = new Map<string, Presence>();
  /** Crashes that the suspicion rests on. */
  readonly #supports = new Set<string>();
  /** Requests with this part, or crashes with many of them, that are different reasons to suspect it; since the last answer. */
  readonly #reasons = new Set<string>();

  constructor(key: string) {
    this.key = key;
    this.#kind = getCauseKind(key);
  }

  /** Crashes that are attributed to the cause. */
  get crashes(): number {
    return this.#crashes;
  }

  /**
   * Crashes since the last answer at which the cause was present. Of crashes at the same time only one counts: only a request
   * that was sent after a crash shows anew whether it was the cause.
   */
  get presences(): number {
    return this.#countPresences(({ sentAtMs }, lastAtMs) => sentAtMs >= lastAtMs - transitMs);
  }

  /** The same, where crashes that may have one cause count once. */
  get separatePresences(): number {
    return this.#countPresences(({ atMs }, lastAtMs) => atMs - lastAtMs >= sameCauseMs);
  }

  /** How much would be lost with this record. */
  get weight(): number {
    return this.#crashes * maxPresences + this.#candidateCrashes + this.#presences.size + this.#reasons.size;
  }

  /** Counts a crash at which the part was one of several candidates. Returns the crashes since it was last answered. */
  noteCandidate(atMs: number): number {
    if (atMs - this.#candidateAtMs >= sameCauseMs) {
      this.#candidateCrashes = this.#answeredAtMs > this.#candidateAtMs ? 1 : this.#candidateCrashes + 1;
      this.#candidateAtMs = atMs;
    }
    return this.#candidateCrashes;
  }

  /** Notes that the cause was at a target that has crashed. */
  notePresence(crash: string, atMs: number, sentMs: number): void {
    if (atMs > this.#answeredAtMs && (this.#presences.size < maxPresences || this.#presences.has(crash))) {
      const sentAtMs = Math.max(atMs - sentMs, this.#presences.get(crash)?.sentAtMs ?? -Infinity);
      this.#presences.set(crash, { atMs, sentAtMs });
    }
  }

  /** Notes a reason to suspect the part. Returns how many different ones there are since the last answer. */
  noteReason(reason: string): number {
    if (this.#reasons.size < maxReasons) {
      this.#reasons.add(reason);
    }
    return this.#reasons.size;
  }

  /** `isAmbiguous` states whether another request was at the same crashes. */
  suspect(crash: string, nowMs: number, isAmbiguous = false): void {
    if (this.#isLifted) {
      this.#crashes = 0;
      this.#supports.clear();
    }
    this.#crashes += 1;
    this.#candidateCrashes = 0;
    const durations = suspicionMs[this.#kind];
    const forMs = durations[Math.min(this.#crashes, durations.length) - 1] ?? 0;
    this.#sinceMs = nowMs;
    this.#untilMs = nowMs + (isAmbiguous ? ambiguousMs : forMs);
    this.#supports.add(crash);
  }

  noteAnswered(atMs: number): void {
    if (atMs <= this.#answeredAtMs) {
      return;
    }
    this.#answeredAtMs = atMs;
    this.#reasons.clear();
    for (const [crash, presence] of this.#presences) {
      if (presence.atMs < atMs) {
        this.#presences.delete(crash);
      }
    }
  }

  /** Ends a suspicion that rests only on crashes with another cause. */
  refute(explained: ReadonlySet<string>, nowMs: number): void {
    const isExplained = [...this.#supports].every((crash) => explained.has(crash));
    if (this.#supports.size > 0 && isExplained) {
      this.withdraw(nowMs);
      explained.forEach((crash) => this.#presences.delete(crash));
    }
  }

  /** Ends a suspicion that further evidence does not bear out. */
  withdraw(nowMs: number): void {
    if (this.isSuspectedAt(nowMs, nowMs)) {
      this.#withdrawnAtMs = nowMs;
    }
  }

  /** Crashes at which the cause was present. */
  listPresences(): ReadonlySet<string> {
    return new Set(this.#presences.keys());
  }

  /** Whether the cause was suspected when a target crashed at `atMs`, or has become so since. */
  isSuspectedAt(atMs: number, nowMs: number): boolean {
    return !this.#isLifted && this.#untilMs > Math.min(atMs, nowMs);
  }

  /** Whether the cause was suspected before a crash at `atMs`, and has not been answered since. */
  isRelapseAt(atMs: number): boolean {
    const isLater = atMs > this.#sinceMs + settlingMs && atMs < this.#untilMs + relapseMs;
    return this.#crashes > 0 && !this.#isLifted && isLater;
  }

  mergeSuspicion({ crashes, ageMs, leftMs }: Suspicion, nowMs: number): void {
    if (crashes > this.#crashes) {
      this.#crashes = crashes;
      this.#sinceMs = nowMs - ageMs;
      this.#untilMs = nowMs + leftMs;
    }
  }

  /** Null if the cause has never been suspected, or not for long. */
  getSuspicion(nowMs: number): Suspicion | null {
    const isOver = this.#untilMs <= nowMs || (this.#isLifted && nowMs - this.#liftedAtMs > liftedMs);
    if (this.#crashes === 0 || isOver) {
      return null;
    }
    const isLifted = this.#isLifted;
    const leftMs = isLifted ? 0 : this.#untilMs - nowMs;
    return { part: this.key, crashes: this.#crashes, ageMs: nowMs - this.#sinceMs, leftMs, isLifted };
  }

  #countPresences(isSeparate: (presence: Presence, lastAtMs: number) => boolean): number {
    const presences = [...this.#presences.values()].sort((left, right) => left.atMs - right.atMs);
    let lastAtMs = -Infinity;
    let count = 0;
    for (const presence of presences) {
      if (isSeparate(presence, lastAtMs)) {
        count += 1;
        lastAtMs = presence.atMs;
      }
    }
    return count;
  }

  /** A target that begins to answer what crashes targets does not go on. */
  get #isLifted(): boolean {
    return this.#liftedAtMs > this.#sinceMs;
  }

  get #liftedAtMs(): number {
    return Math.max(this.#answeredAtMs, this.#withdrawnAtMs);
  }
}
