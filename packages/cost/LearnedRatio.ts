import { DecayingHistogram } from "./DecayingHistogram";
import type { LengthEstimate } from "./LengthEstimate";

interface LearnedRatioOptions {
  readonly priorMedian: number;
  readonly priorOctaves: number;
  readonly priorWeight: number;
}

/** Answers are taken to be between a 64th and 64 times of what they are compared with. */
const maxOctaves = 6;
/** A mean of evenly spaced quantiles; a few extreme values do not move it. */
const shares = [0.1, 0.3, 0.5, 0.7, 0.9] as const;
/** Width of about one bin, which no distribution is narrower than. */
const minSpread = 0.25;

/** Learned ratio of the length of answers to a base that is known before, such as the caller's hint. */
export class LearnedRatio {
  readonly #ratios: DecayingHistogram;
  #estimate: LengthEstimate | null = null;

  constructor(options: LearnedRatioOptions) {
    this.#ratios = new DecayingHistogram({ ...options, minValue: 2 ** -maxOctaves, octaves: 2 * maxOctaves });
  }

  get estimate(): LengthEstimate {
    this.#estimate ??= this.#compute();
    return this.#estimate;
  }

  note(ratio: number, nowMs: number): void {
    this.#ratios.note(ratio, nowMs);
    this.#estimate = null;
  }

  /** Median of the ratios above `floor`; null if none are known. */
  getMedianAbove(floor: number): number | null {
    return this.#ratios.getMedianAbove(floor);
  }

  #compute(): LengthEstimate {
    const quantiles = this.#ratios.getQuantiles(shares);
    const mean = quantiles.reduce((sum, value) => sum + value, 0) / quantiles.length;
    const spread = Math.log2((quantiles.at(-1) ?? 1) / (quantiles[0] ?? 1));
    return { mean, spread: Math.max(minSpread, spread) };
  }
}
