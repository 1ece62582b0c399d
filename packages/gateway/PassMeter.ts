/** A gap counts to 1/e after this time; experts move and callers come and go within a second. */
const memoryMs = 500;
/** Gaps from fewer streams than this say little. */
const leastWeight = 3;

/** Recent mean time between events of a service's streams, which is the time of a pass. Has no clock. */
export class PassMeter {
  #sum = 0;
  #weight = 0;
  #notedAtMs = 0;

  note(gapMs: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#sum += gapMs;
    this.#weight += 1;
  }

  /** Mean gap in ms; null while too few are known. */
  getMeanMs(nowMs: number): number | null {
    this.#decay(nowMs);
    return this.#weight < leastWeight ? null : this.#sum / this.#weight;
  }

  #decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.#notedAtMs) / memoryMs);
    this.#sum *= factor;
    this.#weight *= factor;
    this.#notedAtMs = nowMs;
  }
}
