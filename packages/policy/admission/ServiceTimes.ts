interface ModelTimes {
  prefillMsPerToken: number;
  tokenGapMs: number;
  outputShare: number;
  /** Mean absolute deviation of `outputShare`. */
  outputDeviation: number;
  baseMs: number;
}

interface ServiceSize {
  readonly promptTokenCount: number;
  readonly maxTokenCount: number;
}

/** Share of a new sample in the moving averages; 20 samples carry two thirds of the weight. */
const gain = 0.05;
/** A first token includes waiting at the engine, so samples above the estimate count less than those below. */
const upwardPrefillGain = 0.005;
/** Answers longer than the mean by this many mean deviations still count as expected. */
const safeDeviations = 2;
const firstEstimate: ModelTimes = {
  prefillMsPerToken: 0.1,
  tokenGapMs: 20,
  outputShare: 0.7,
  outputDeviation: 0.1,
  baseMs: 50,
};

/**
 * Measured service times per model (or service). The estimate of a request is
 * `baseMs + promptTokens * prefillMsPerToken + maxTokens * outputShare * tokenGapMs`, each coefficient an
 * exponential moving average; `outputShare` is the part of the permitted output that answers use. `baseMs` is
 * learnt from calls without tokens only.
 */
export class ServiceTimes {
  readonly #models = new Map<string, ModelTimes>();

  /** Takes the time from dispatch to the first token. */
  addFirstToken(model: string, uncachedTokenCount: number, firstTokenMs: number): void {
    const times = this.#get(model);
    // Short prompts tell little about the time per token: fixed costs dominate.
    if (uncachedTokenCount < 64) {
      return;
    }
    const sample = firstTokenMs / uncachedTokenCount;
    const rate = sample > times.prefillMsPerToken ? upwardPrefillGain : gain;
    times.prefillMsPerToken += rate * (sample - times.prefillMsPerToken);
  }

  /** Takes a whole answer: output tokens, the permitted number, and the time from first to last token. */
  addAnswer(model: string, tokenCount: number, maxTokenCount: number, decodeMs: number): void {
    const times = this.#get(model);
    if (maxTokenCount > 0) {
      const error = Math.min(1, tokenCount / maxTokenCount) - times.outputShare;
      times.outputShare += gain * error;
      times.outputDeviation += gain * (Math.abs(error) - times.outputDeviation);
    }
    if (tokenCount > 1) {
      times.tokenGapMs += gain * (decodeMs / (tokenCount - 1) - times.tokenGapMs);
    }
  }

  /** Takes the duration of a call without tokens. */
  addCall(service: string, durationMs: number): void {
    const times = this.#get(service);
    times.baseMs += gain * (durationMs - times.baseMs);
  }

  getPrefillMs(model: string, uncachedTokenCount: number): number {
    return this.#get(model).prefillMsPerToken * uncachedTokenCount;
  }

  getOutputTokenCount(model: string, maxTokenCount: number): number {
    return this.#get(model).outputShare * maxTokenCount;
  }

  getTokenGapMs(model: string): number {
    return this.#get(model).tokenGapMs;
  }

  /** Predicted time from dispatch to the end of the answer on a target of mean speed that is not waiting. */
  getServiceMs(model: string, { promptTokenCount, maxTokenCount }: ServiceSize): number {
    const times = this.#get(model);
    const baseMs = promptTokenCount + maxTokenCount === 0 ? times.baseMs : 0;
    return (
      baseMs +
      promptTokenCount * times.prefillMsPerToken +
      maxTokenCount * times.outputShare * times.tokenGapMs
    );
  }

  /** Output that most answers keep within: more than the mean, at most the permitted number. */
  getSafeOutputTokenCount(model: string, maxTokenCount: number): number {
    const { outputShare, outputDeviation } = this.#get(model);
    return Math.min(1, outputShare + safeDeviations * outputDeviation) * maxTokenCount;
  }

  /** Predicted service time of an answer with that output. */
  getSafeServiceMs(model: string, size: ServiceSize): number {
    const { maxTokenCount } = size;
    const addedCount =
      this.getSafeOutputTokenCount(model, maxTokenCount) - this.getOutputTokenCount(model, maxTokenCount);
    return this.getServiceMs(model, size) + addedCount * this.getTokenGapMs(model);
  }

  #get(model: string): ModelTimes {
    let times = this.#models.get(model);
    if (times === undefined) {
      times = { ...firstEstimate };
      this.#models.set(model, times);
    }
    return times;
  }
}
