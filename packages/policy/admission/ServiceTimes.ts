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

/** Weight of a new sample in the moving averages; the last 20 samples have about two thirds of the weight. */
const smoothingFactor = 0.05;
/**
 * Time to first token includes queueing at the engine, so samples above the estimate count less than those
 * below.
 */
const upwardPrefillSmoothing = 0.005;
/** Conservative estimates assume responses longer than the mean by this many mean absolute deviations. */
const conservativeDeviations = 2;
const initialEstimate: ModelTimes = {
  prefillMsPerToken: 0.1,
  tokenGapMs: 20,
  outputShare: 0.7,
  outputDeviation: 0.1,
  baseMs: 50,
};

/**
 * Estimates service times per model (or plain service). The estimate for a request is
 * `baseMs + promptTokens * prefillMsPerToken + maxTokens * outputShare * tokenGapMs`.
 * Each coefficient is an exponential moving average; `outputShare` is the share of the permitted output that
 * responses use. `baseMs` applies only to calls without tokens and is updated only by them.
 */
export class ServiceTimes {
  readonly #models = new Map<string, ModelTimes>();

  /** Adds a sample of the time from dispatch to the first token. */
  addFirstToken(model: string, uncachedTokenCount: number, firstTokenMs: number): void {
    const times = this.#get(model);
    // Fixed costs dominate the time of short prompts, so they are ignored.
    if (uncachedTokenCount < 64) {
      return;
    }
    const sample = firstTokenMs / uncachedTokenCount;
    const rate = sample > times.prefillMsPerToken ? upwardPrefillSmoothing : smoothingFactor;
    times.prefillMsPerToken += rate * (sample - times.prefillMsPerToken);
  }

  /**
   * Adds a complete response: output tokens, permitted number of tokens, and time from first to last token.
   */
  addResponse(model: string, tokenCount: number, maxTokenCount: number, decodeMs: number): void {
    const times = this.#get(model);
    if (maxTokenCount > 0) {
      const error = Math.min(1, tokenCount / maxTokenCount) - times.outputShare;
      times.outputShare += smoothingFactor * error;
      times.outputDeviation += smoothingFactor * (Math.abs(error) - times.outputDeviation);
    }
    if (tokenCount > 1) {
      times.tokenGapMs += smoothingFactor * (decodeMs / (tokenCount - 1) - times.tokenGapMs);
    }
  }

  /** Adds the duration of a call without tokens. */
  addCall(service: string, durationMs: number): void {
    const times = this.#get(service);
    times.baseMs += smoothingFactor * (durationMs - times.baseMs);
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

  /** Predicted time from dispatch to the end of the response, on a target of mean speed without queueing. */
  getServiceMs(model: string, { promptTokenCount, maxTokenCount }: ServiceSize): number {
    const times = this.#get(model);
    const baseMs = promptTokenCount + maxTokenCount === 0 ? times.baseMs : 0;
    return (
      baseMs +
      promptTokenCount * times.prefillMsPerToken +
      maxTokenCount * times.outputShare * times.tokenGapMs
    );
  }

  /** Upper estimate of the output: more than the mean, at most the permitted number of tokens. */
  getConservativeOutputTokenCount(model: string, maxTokenCount: number): number {
    const { outputShare, outputDeviation } = this.#get(model);
    return Math.min(1, outputShare + conservativeDeviations * outputDeviation) * maxTokenCount;
  }

  /** Predicted service time of a response with the upper estimate of the output. */
  getConservativeServiceMs(model: string, size: ServiceSize): number {
    const { maxTokenCount } = size;
    const addedCount =
      this.getConservativeOutputTokenCount(model, maxTokenCount) -
      this.getOutputTokenCount(model, maxTokenCount);
    return this.getServiceMs(model, size) + addedCount * this.getTokenGapMs(model);
  }

  #get(model: string): ModelTimes {
    let times = this.#models.get(model);
    if (times === undefined) {
      times = { ...initialEstimate };
      this.#models.set(model, times);
    }
    return times;
  }
}
