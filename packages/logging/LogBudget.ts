import { TokenBucket } from "@clementinemux/common/TokenBucket";

/** What decides whether a line is written. */
interface LogLine {
  /** Level of the logging library: 30 is info, 40 a warning. */
  readonly level: number;
  /** Text of the event, the same for all lines of its kind. */
  readonly event: string;
}

const warningLevel = 40;
/** Bytes a second of each class of lines: ordinary ones, and warnings with all above. */
const classBytesPerS = 65_536;
/** Share of its class that one kind of event may take, so that it cannot hide the others. */
const eventShare = 0.5;
/** Time in which an unused budget adds up. */
const burstS = 4;
/** Bytes that may wait for a reader of the log before ordinary lines are left out. */
const maxPendingBytes = 262_144;
/** Warnings are left out only beyond this multiple of it. */
const warningFactor = 2;
/** Time between two reports of what was left out. */
const reportMs = 1000;

/**
 * Decides which log lines are written, so that logs stay bounded under load and while nobody reads them. Ordinary lines
 * and warnings have budgets of their own. Has no clock and no I/O.
 */
export class LogBudget {
  readonly #buckets = new Map<string, TokenBucket>();
  #omitted = new Map<string, number>();
  #reportedAtMs = -Infinity;

  /** Whether a line may be written while `pendingBytes` wait for a reader; counts it as left out if not. */
  admit({ level, event }: LogLine, pendingBytes: number, nowMs: number): boolean {
    const isWarning = level >= warningLevel;
    const limitBytes = maxPendingBytes * (isWarning ? warningFactor : 1);
    const buckets = this.#select(isWarning, event, nowMs);
    const isAdmitted = pendingBytes < limitBytes && buckets.every((bucket) => bucket.canTake(1, nowMs));
    if (!isAdmitted) {
      this.#omitted.set(event, (this.#omitted.get(event) ?? 0) + 1);
    }
    return isAdmitted;
  }

  /** Charges a line that was admitted. */
  charge({ level, event }: LogLine, sizeBytes: number, nowMs: number): void {
    for (const bucket of this.#select(level >= warningLevel, event, nowMs)) {
      bucket.take(sizeBytes, nowMs);
    }
  }

  /** Lines left out by event since the last report; null when there are none or the last report is too recent. */
  takeOmitted(nowMs: number): Readonly<Record<string, number>> | null {
    if (this.#omitted.size === 0 || nowMs - this.#reportedAtMs < reportMs) {
      return null;
    }
    const omitted = Object.fromEntries(this.#omitted);
    this.#omitted = new Map();
    this.#reportedAtMs = nowMs;
    return omitted;
  }

  #select(isWarning: boolean, event: string, nowMs: number): readonly TokenBucket[] {
    const name = isWarning ? "warning" : "ordinary";
    return [
      this.#get(name, classBytesPerS, nowMs),
      this.#get(`${name}/${event}`, classBytesPerS * eventShare, nowMs),
    ];
  }

  #get(name: string, bytesPerS: number, nowMs: number): TokenBucket {
    const known = this.#buckets.get(name);
    const bucket = known ?? new TokenBucket(bytesPerS, bytesPerS * burstS, nowMs - burstS * 1000);
    this.#buckets.set(name, bucket);
    return bucket;
  }
}
