const smoothingFactor = 0.1;
/**
 * A healthy target can have a few slow or failed responses by chance, so fewer samples than this don't eject
 * it.
 */
const minSampleCount = 5;
const ejectErrorRate = 0.5;
/**
 * Ejects a target whose ratio of actual to predicted first-token time exceeds this multiple of its peers'
 * median.
 */
const ejectLatencyRatio = 4;
const firstEjectionMs = 5000;
const maxEjectionMs = 60_000;
/** Longer than the first ejection, but shorter than the reaction time of an operator. */
const errorHalfLifeMs = 10_000;
/** Caches and kernels of a restarted engine are cold for about this long. */
const warmUpMs = 10_000;

/** Error rate, latency relative to the prediction, ejection and warm-up of one target. */
export class TargetHealth {
  #errorRate = 0;
  #errorAtMs = 0;
  #latencyRatio = 1;
  #sampleCount = 0;
  #ejectedUntilMs: number | null = null;
  #ejectionCount = 0;
  #probeAttemptId: string | null = null;
  #warmFromMs: number;

  constructor(warmFromMs: number) {
    this.#warmFromMs = warmFromMs;
  }

  /**
   * Decays with time too: a target that gets no requests because of its errors could not recover otherwise.
   */
  getErrorRate(nowMs: number): number {
    return this.#errorRate * 0.5 ** ((nowMs - this.#errorAtMs) / errorHalfLifeMs);
  }

  get latencyRatio(): number {
    return this.#latencyRatio;
  }

  get isEjected(): boolean {
    return this.#ejectedUntilMs !== null;
  }

  /** 1 directly after the start, decreasing to 0 when the target is warm. */
  getColdShare(nowMs: number): number {
    return Math.max(0, 1 - (nowMs - this.#warmFromMs) / warmUpMs);
  }

  addError(nowMs: number): void {
    this.#decayErrors(nowMs);
    this.#errorRate += smoothingFactor * 2 * (1 - this.#errorRate);
  }

  addSuccess(nowMs: number): void {
    this.#decayErrors(nowMs);
    this.#errorRate -= smoothingFactor * this.#errorRate;
  }

  addLatencyRatio(ratio: number): void {
    this.#latencyRatio += smoothingFactor * (Math.min(ratio, 20) - this.#latencyRatio);
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
    this.#probeAttemptId = null;
    this.#ejectedUntilMs = nowMs + Math.min(maxEjectionMs, firstEjectionMs * 2 ** (this.#ejectionCount - 1));
  }

  /**
   * Whether a request may be sent. An ejected target gets one probe request at a time after the ejection
   * time.
   */
  maySend(nowMs: number): boolean {
    return this.#ejectedUntilMs === null || (nowMs >= this.#ejectedUntilMs && this.#probeAttemptId === null);
  }

  onDispatch(attemptId: string): void {
    if (this.#ejectedUntilMs !== null) {
      this.#probeAttemptId = attemptId;
    }
  }

  /**
   * Handles the end of an attempt. A successful probe readmits the target and a failed one ejects it again; a
   * result of null, such as a cancellation, has no effect.
   */
  onAttemptEnded(attemptId: string, result: boolean | null, nowMs: number): void {
    if (attemptId !== this.#probeAttemptId) {
      return;
    }
    this.#probeAttemptId = null;
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

  #decayErrors(nowMs: number): void {
    this.#sampleCount += 1;
    this.#errorRate = this.getErrorRate(nowMs);
    this.#errorAtMs = nowMs;
  }
}
