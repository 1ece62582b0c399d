import { TokenBucket } from "@clementinemux/common/TokenBucket";
import { LogLossCause } from "./LogLossCause";

/** Properties that decide whether a line is written. */
interface LogLine {
  /** Level of the logging library: 30 is info, 40 a warning. */
  readonly level: number;
  /** Text of the event; the same for all lines of one kind. */
  readonly event: string;
}

const warningLevel = 40;
/** Rate limit of each of the two classes of lines: ordinary lines, and those at warning level or above. */
const levelClassBytesPerS = 65_536;
/** Share of its class's rate that one kind of event may use, so that it cannot displace the others. */
const maxEventShare = 0.5;
/** Time over which an unused budget accrues. */
const burstS = 4;
/** Bytes that may wait to be read from standard output before ordinary lines are dropped. */
const maxPendingBytes = 262_144;
/** Warnings are dropped only above this multiple of `maxPendingBytes`. */
const warningPendingFactor = 2;
/** Least time between two reports of dropped lines. */
const reportIntervalMs = 1000;

/**
 * Decides which log lines are written, so that logs stay bounded under load and while standard output is not
 * read. Ordinary lines and warnings have separate budgets. Pure: the caller passes the current time.
 */
export class LogBudget {
  readonly #buckets = new Map<string, TokenBucket>();
  #omitted = new Map<string, number>();
  #reportedAtMs = -Infinity;

  /** Returns why a line may not be written while `pendingBytes` wait to be read; null when it may. */
  admit({ level, event }: LogLine, pendingBytes: number, nowMs: number): LogLossCause | null {
    const isWarning = level >= warningLevel;
    if (pendingBytes >= maxPendingBytes * (isWarning ? warningPendingFactor : 1)) {
      return LogLossCause.Unread;
    }
    const buckets = this.#selectBuckets(isWarning, event, nowMs);
    return buckets.every((bucket) => bucket.canTake(1, nowMs)) ? null : LogLossCause.Budget;
  }

  /** Charges a line that was admitted. */
  charge({ level, event }: LogLine, sizeBytes: number, nowMs: number): void {
    for (const bucket of this.#selectBuckets(level >= warningLevel, event, nowMs)) {
      bucket.take(sizeBytes, nowMs);
    }
  }

  /** Adds lines by event that were not written, for the next report. */
  addOmitted(counts: Readonly<Record<string, number>>): void {
    for (const [event, count] of Object.entries(counts)) {
      this.#omitted.set(event, (this.#omitted.get(event) ?? 0) + count);
    }
  }

  /**
   * Omitted lines by event since the last report; null when there are none or the last report is too recent.
   */
  takeOmitted(nowMs: number): Readonly<Record<string, number>> | null {
    if (this.#omitted.size === 0 || nowMs - this.#reportedAtMs < reportIntervalMs) {
      return null;
    }
    const omitted = Object.fromEntries(this.#omitted);
    this.#omitted = new Map();
    this.#reportedAtMs = nowMs;
    return omitted;
  }

  #selectBuckets(isWarning: boolean, event: string, nowMs: number): readonly TokenBucket[] {
    const name = isWarning ? "warning" : "ordinary";
    return [
      this.#getBucket(name, levelClassBytesPerS, nowMs),
      this.#getBucket(`${name}/${event}`, levelClassBytesPerS * maxEventShare, nowMs),
    ];
  }

  #getBucket(name: string, bytesPerS: number, nowMs: number): TokenBucket {
    const existing = this.#buckets.get(name);
    const bucket = existing ?? new TokenBucket(bytesPerS, bytesPerS * burstS, nowMs - burstS * 1000);
    this.#buckets.set(name, bucket);
    return bucket;
  }
}
