import type { EngineParameters } from "@clementinemux/routes/EngineParameters";

interface RequestSize {
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
}

/** Expected time in a slot, in ms, for prefill and decoding at an otherwise idle target; 1 for services without an engine. */
export function getRequestCostMs(engine: EngineParameters | null, size: RequestSize): number {
  if (engine === null) {
    return 1;
  }
  const { promptTokens, maxAnswerTokens } = size;
  const { readPerSecond, stride, stepMs, perSequenceMs, perThousandContextMs } = engine;
  const prefillMs = readPerSecond > 0 ? (promptTokens * 1000) / readPerSecond : 0;
  const meanContextTokens = promptTokens + maxAnswerTokens / 2;
  const tokenMs = stepMs + perSequenceMs + (perThousandContextMs * meanContextTokens) / 1000;
  const steps = Math.ceil(maxAnswerTokens / Math.max(1, stride)) * Math.max(1, stride);
  return Math.max(1, prefillMs + steps * tokenMs);
}
