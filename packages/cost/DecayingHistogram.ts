interface HistogramOptions {
  /** Smaller values are counted as this one. */
  readonly minValue: number;
  /** Doublings from the smallest to the largest value. */
  readonly octaves: number;
  /** Median before the first value is known. */
  readonly priorMedian: number;
  /** Distance from the median within which the prior lies, in doublings. */
  readonly priorOctaves: number;
  /** Number of values that the prior counts as. */
  readonly priorWeight: number;
}

const binsPerOctave = 4;
/** A value counts half after this many later ones. */
const halfLifeValues = 256;
const keptPerValue = 0.5 ** (1 / halfLifeValues);
/** A value counts half after this time. */
const halfLifeMs = 600_000;
/** Intervals shorter than this are not worth a decay of their own. */
const minDecayMs = 1000;

/**
 * Distribution of positive values over logarithmic bins, of which older values count less. Its memory does not
 * grow, and an outlier weighs no more than any other value. Takes the current time as a parameter.
 */
export class DecayingHistogram {
  readonly #minValue: number;
  readonly #weights: Float32Array;
  readonly #prior: Float32Array;
  #decayedAtMs: number | null = null;

  constructor({ minValue, octaves, priorMedian, priorOctaves, priorWeight }: HistogramOptions) {
    this.#minValue = minValue;
    const size = octaves * binsPerOctave + 1;
    this.#weights = new Float32Array(size);
    const center = Math.log2(priorMedian / minValue) * binsPerOctave;
    const width = priorOctaves * binsPerOctave;
    const shape = Float32Array.from({ length: size }, (_, bin) =>
      Math.max(0, 1 - Math.abs(bin - center) / width),
    );
    const total = shape.reduce((sum, share) => sum + share, 0);
    this.#prior = shape.map((share) => (share / total) * priorWeight);
  }

  note(value: number, nowMs: number): void {
    this.#decay(nowMs);
    const bin = this.#getBin(value);
    this.#weights[bin] = (this.#weights[bin] ?? 0) + 1;
  }

  /** Values below which the given shares lie, in the order of the shares, which must ascend. */
  getQuantiles(shares: readonly number[]): number[] {
    const total = this.#sumFrom(0);
    let sum = 0;
    let bin = 0;
    return shares.map((share) => {
      while (bin < this.#weights.length - 1 && sum + this.#getWeight(bin) < share * total) {
        sum += this.#getWeight(bin);
        bin += 1;
      }
      return this.#interpolate(bin, share * total - sum);
    });
  }

  /** Median of the values above `floor`; null if none are known. */
  getMedianAbove(floor: number): number | null {
    const first = this.#getBin(floor) + 1;
    const half = first < this.#weights.length ? this.#sumFrom(first) / 2 : 0;
    if (half <= 0) {
      return null;
    }
    let sum = 0;
    for (let bin = first; bin < this.#weights.length; bin += 1) {
      const weight = this.#getWeight(bin);
      if (sum + weight >= half) {
        return this.#interpolate(bin, half - sum);
      }
      sum += weight;
    }
    return null;
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - (this.#decayedAtMs ?? nowMs);
    const byTime = elapsedMs < minDecayMs ? 1 : 0.5 ** (elapsedMs / halfLifeMs);
    if (this.#decayedAtMs === null || elapsedMs >= minDecayMs) {
      this.#decayedAtMs = nowMs;
    }
    const kept = keptPerValue * byTime;
    for (let bin = 0; bin < this.#weights.length; bin += 1) {
      this.#weights[bin] = (this.#weights[bin] ?? 0) * kept;
    }
  }

  #getBin(value: number): number {
    const bin = Math.round(Math.log2(Math.max(value, this.#minValue) / this.#minValue) * binsPerOctave);
    return Math.min(bin, this.#weights.length - 1);
  }

  #getWeight(bin: number): number {
    return (this.#weights[bin] ?? 0) + (this.#prior[bin] ?? 0);
  }

  #sumFrom(first: number): number {
    let sum = 0;
    for (let bin = first; bin < this.#weights.length; bin += 1) {
      sum += this.#getWeight(bin);
    }
    return sum;
  }

  /** The value at which the first `weight` of the bin ends. */
  #interpolate(bin: number, weight: number): number {
    const share = weight / Math.max(this.#getWeight(bin), Number.MIN_VALUE);
    return this.#minValue * 2 ** ((bin - 0.5 + Math.min(1, Math.max(0, share))) / binsPerOctave);
  }
}
