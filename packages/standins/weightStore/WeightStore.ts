/**
 * Stand-in for the weight store: transfers run one at a time at a fixed rate. The caller passes the current
 * time.
 */
export class WeightStore {
  sentBytes = 0;
  readonly #bytesPerS: number;
  #busyUntilMs = 0;

  constructor(bytesPerS: number) {
    this.#bytesPerS = bytesPerS;
  }

  /** Queues a transfer and returns the time of its completion. */
  queueTransfer(sizeBytes: number, nowMs: number): number {
    this.sentBytes += sizeBytes;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + (sizeBytes / this.#bytesPerS) * 1000;
    return this.#busyUntilMs;
  }
}
