/** Time constant of the exponential decay; experts move and callers come and go within a second. */
const decayMs = 500;
/** A mean over fewer gaps than this is too noisy. */
const minWeight = 3;

/**
 * Recent mean time between the events of a service's streams, which is the time of a forward pass. Takes the
 * current time as a parameter.
 */
export class PassMeter {
  #sum = 0;
  #weight = 0;
  #notedAtMs = 0;

  note(gapMs: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#sum += gapMs;
    this.#weight += 1;
  }

  /** Mean gap in ms; null while too few gaps are known. */
  getMeanMs(nowMs: number): number | null {
    this.#decay(nowMs);
    return this.#weight < minWeight ? null : this.#sum / this.#weight;
  }

  #decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.#notedAtMs) / decayMs);
    this.#sum *= factor;
    this.#weight *= factor;
    this.#notedAtMs = nowMs;
  }
}
