import type { LengthEstimate } from "./LengthEstimate";
import { LearnedRatio } from "./LearnedRatio";

/** What the length of an answer is compared with. */
interface LengthBasis {
  /** The caller's estimate; 0 for none. */
  readonly hintTokens: number;
  /** Length expected without the caller's estimate. */
  readonly usualTokens: number;
  /** 0 for no limit. */
  readonly maxTokens: number;
}

/** Hints are right at the median and often wrong by a factor of two or more. */
const hintPrior = { priorMedian: 1, priorOctaves: 2, priorWeight: 8 };
const usualPrior = { priorMedian: 1, priorOctaves: 4, priorWeight: 4 };
/** A hint above this multiple of the usual length counts as this multiple. */
const maxHintFactor = 64;
/** Further growth assumed for an answer that is longer than all known ones, relative to its length. */
const unknownGrowth = 0.25;

/**
 * Learns how long the answers of one route are, with and without the caller's hint. The narrower of the two
 * distributions has more weight, so hints that say nothing are not relied on.
 */
export class AnswerLengths {
  readonly #byHint = new LearnedRatio(hintPrior);
  readonly #byUsual = new LearnedRatio(usualPrior);

  note({ hintTokens, usualTokens }: LengthBasis, tokens: number, nowMs: number): void {
    this.#byUsual.note(tokens / usualTokens, nowMs);
    if (hintTokens > 0) {
      this.#byHint.note(tokens / hintTokens, nowMs);
    }
  }

  /** Expected length of an answer, in tokens, and the spread of the ratio that it is based on. */
  estimate({ hintTokens, usualTokens, maxTokens }: LengthBasis): LengthEstimate {
    const usual = this.#byUsual.estimate;
    const usualLength = usualTokens * usual.mean;
    if (hintTokens <= 0) {
      return { mean: limit(usualLength, maxTokens), spread: usual.spread };
    }
    const hinted = this.#byHint.estimate;
    const hintWeight = usual.spread ** 2 / (usual.spread ** 2 + hinted.spread ** 2);
    const hintedLength = limit(Math.min(hintTokens, usualTokens * maxHintFactor), maxTokens) * hinted.mean;
    const mean = limit(hintedLength ** hintWeight * usualLength ** (1 - hintWeight), maxTokens);
    return { mean, spread: Math.min(hinted.spread, usual.spread) };
  }

  /** Expected length of an answer that is already `doneTokens` long, which is more than was expected. */
  estimateAbove({ hintTokens, usualTokens, maxTokens }: LengthBasis, doneTokens: number): number {
    const isByHint = hintTokens > 0 && this.#byHint.estimate.spread <= this.#byUsual.estimate.spread;
    const base = isByHint ? hintTokens : usualTokens;
    const ratio = (isByHint ? this.#byHint : this.#byUsual).getMedianAbove(doneTokens / base);
    const tokens = ratio === null ? doneTokens * (1 + unknownGrowth) : Math.max(base * ratio, doneTokens);
    return maxTokens > 0 ? Math.max(doneTokens, Math.min(tokens, maxTokens)) : tokens;
  }
}

function limit(tokens: number, maxTokens: number): number {
  return Math.max(1, maxTokens > 0 ? Math.min(tokens, maxTokens) : tokens);
}
