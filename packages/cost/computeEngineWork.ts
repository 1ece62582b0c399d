import type { EngineParameters } from "@clementinemux/routes/EngineParameters";
import type { RequestWork } from "./RequestWork";

type AnswerBounds = Pick<RequestWork, "minLeftTokens" | "maxTokens">;

const msPerS = 1000;
const tokensPerThousand = 1000;
/** Longest prompt where the memory of the engine is not known. */
const defaultMaxTokens = 1_000_000;

/**
 * Work of a request at an engine that runs forward passes for all of its requests together. The fixed part of
 * a pass is shared by the slots.
 */
export function computeEngineWork(
  engine: EngineParameters,
  promptTokens: number,
  answerTokens: number,
  { minLeftTokens = 0, maxTokens = Infinity }: Partial<AnswerBounds> = {},
): RequestWork {
  const { slots, stride, stepMs, readPerSecond, meanPromptTokens, meanAnswerTokens } = engine;
  const readTokens = Math.min(promptTokens > 0 ? promptTokens : meanPromptTokens, getMaxTokens(engine));
  const prefillMs = readPerSecond > 0 ? (readTokens / readPerSecond) * msPerS : 0;
  const addedMs = getAddedMs(engine, readTokens + answerTokens / 2);
  const tokenMs = addedMs + stepMs / Math.max(1, slots);
  const otherMs = getAddedMs(engine, meanPromptTokens + meanAnswerTokens / 2);
  return {
    prefillMs,
    decodeMs: answerTokens * tokenMs,
    totalMs: prefillMs + answerTokens * tokenMs,
    aloneMs: prefillMs + answerTokens * (stepMs + addedMs),
    perOtherMs: answerTokens * otherMs,
    delayingShare: otherMs / (otherMs + stepMs / Math.max(1, slots)),
    promptTokens: readTokens,
    answerTokens,
    minLeftTokens,
    maxTokens,
    stride: Math.max(1, stride),
    tokenMs,
  };
}

/** No engine holds more tokens than its memory; a false statement of the caller counts no further. */
function getMaxTokens({ kvCapacityTokens }: EngineParameters): number {
  return kvCapacityTokens > 0 ? kvCapacityTokens : defaultMaxTokens;
}

/** Time that a request adds to each step. */
function getAddedMs(
  { perSequenceMs, perThousandContextMs }: EngineParameters,
  contextTokens: number,
): number {
  return perSequenceMs + (perThousandContextMs * contextTokens) / tokensPerThousand;
}
