/** Stand-in for the weight store: sends weights at a limited rate, one after the other, in virtual time. */
export class WeightStore {
  sentBytes = 0;
  readonly #bytesPerS: number;
  #busyUntilMs = 0;

  constructor(bytesPerS: number) {
    this.#bytesPerS = bytesPerS;
  }

  /** Queues a transfer and returns when it will be complete. */
  request(sizeBytes: number, nowMs: number): number {
    this.sentBytes += sizeBytes;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + (sizeBytes / this.#bytesPerS) * 1000;
    return this.#busyUntilMs;
  }
}
