import type { RequestWork } from "./RequestWork";

/** Work of a request of which only the usual duration is known: its share of a target whose slots are all in use. */
export function computeDurationWork(durationMs: number, slots: number): RequestWork {
  const workMs = durationMs / Math.max(1, slots);
  return {
    prefillMs: 0,
    decodeMs: workMs,
    totalMs: workMs,
    aloneMs: durationMs,
    perOtherMs: workMs,
    delayingShare: 1,
    promptTokens: 0,
    answerTokens: 0,
    minLeftTokens: 0,
    maxTokens: Infinity,
    stride: 1,
    tokenMs: 0,
  };
}
