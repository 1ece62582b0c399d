const gain = 0.1;
/** A few slow or failed answers happen to a healthy target; this many samples tell it from chance. */
const minSampleCount = 5;
const ejectErrorRate = 0.5;
/** First tokens this many times later than predicted for the reported load, against the median of the peers. */
const ejectLatencyRatio = 4;
const firstEjectionMs = 5000;
const maxEjectionMs = 60_000;
/** Long against the pause of an ejection, short against an operator's reaction. */
const errorHalfLifeMs = 10_000;
/** A restarted engine has cold caches and kernels for about this long. */
const warmUpMs = 10_000;

/** Error rate, latency against prediction, ejection and warm-up of one target. */
export class TargetHealth {
  #errorRate = 0;
  #errorAtMs = 0;
  #latencyRatio = 1;
  #sampleCount = 0;
  #ejectedUntilMs: number | null = null;
  #ejectionCount = 0;
  #trialAttemptId: string | null = null;
  #warmFromMs: number;

  constructor(warmFromMs: number) {
    this.#warmFromMs = warmFromMs;
  }

  /** Errors fade with time too: a target that gets no requests for its errors has no other way back. */
  getErrorRate(nowMs: number): number {
    return this.#errorRate * 0.5 ** ((nowMs - this.#errorAtMs) / errorHalfLifeMs);
  }

  get latencyRatio(): number {
    return this.#latencyRatio;
  }

  get isEjected(): boolean {
    return this.#ejectedUntilMs !== null;
  }

  /** 1 directly after the start, falling to 0 when warm. */
  getColdShare(nowMs: number): number {
    return Math.max(0, 1 - (nowMs - this.#warmFromMs) / warmUpMs);
  }

  addError(nowMs: number): void {
    this.#fadeErrors(nowMs);
    this.#errorRate += gain * 2 * (1 - this.#errorRate);
  }

  addSuccess(nowMs: number): void {
    this.#fadeErrors(nowMs);
    this.#errorRate -= gain * this.#errorRate;
  }

  addLatencyRatio(ratio: number): void {
    this.#latencyRatio += gain * (Math.min(ratio, 20) - this.#latencyRatio);
  }

  shouldEject(peerMedianRatio: number, nowMs: number): boolean {
    if (this.isEjected || this.#sampleCount < minSampleCount) {
      return false;
    }
    const latencyBound = ejectLatencyRatio * Math.max(1, peerMedianRatio);
    return this.getErrorRate(nowMs) > ejectErrorRate || this.#latencyRatio > latencyBound;
  }

  eject(nowMs: number): void {
    this.#ejectionCount += 1;
    this.#trialAttemptId = null;
    this.#ejectedUntilMs = nowMs + Math.min(maxEjectionMs, firstEjectionMs * 2 ** (this.#ejectionCount - 1));
  }

  /** Whether a request may be sent; while ejected, only one trial request at a time after the pause. */
  maySend(nowMs: number): boolean {
    return this.#ejectedUntilMs === null || (nowMs >= this.#ejectedUntilMs && this.#trialAttemptId === null);
  }

  onDispatch(attemptId: string): void {
    if (this.#ejectedUntilMs !== null) {
      this.#trialAttemptId = attemptId;
    }
  }

  /** Takes the end of an attempt; a trial decides on re-entry, and one that was cancelled decides nothing. */
  onEnd(attemptId: string, result: boolean | null, nowMs: number): void {
    if (attemptId !== this.#trialAttemptId) {
      return;
    }
    this.#trialAttemptId = null;
    if (result === false) {
      this.eject(nowMs);
    }
    if (result === true) {
      this.#ejectedUntilMs = null;
      this.#errorRate = 0;
      this.#latencyRatio = 1;
      this.#sampleCount = 0;
      this.#warmFromMs = nowMs;
    }
  }

  #fadeErrors(nowMs: number): void {
    this.#sampleCount += 1;
    this.#errorRate = this.getErrorRate(nowMs);
    this.#errorAtMs = nowMs;
  }
}
