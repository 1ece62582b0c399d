import type { StreamEvent } from "./StreamEvent";
import { StreamEventKind } from "./StreamEventKind";

interface EngineChunk {
  readonly id?: unknown;
  readonly token_index?: unknown;
  readonly error?: unknown;
  readonly usage?: {
    readonly completion_tokens?: unknown;
    readonly prompt_tokens_details?: { readonly cached_tokens?: unknown } | null;
  };
  readonly choices?: readonly { readonly finish_reason?: string | null }[];
}

const unfinishedField = '"finish_reason":null';
const zeroCharCode = 48;
const maxIndexDigits = 9;

/** Parses the data of an event received by the attempt. */
export function parseStreamEvent(data: string, attemptId: string): StreamEvent {
  if (data === "[DONE]") {
    return { kind: StreamEventKind.Done };
  }
  return parseTokenPrefix(data, attemptId) ?? parseFullEvent(data, attemptId);
}

/**
 * Fast path: reads a token event in the field order that our engines write, without parsing its JSON. An
 * unescaped `"finish_reason":null` cannot be part of a string value, so the event cannot be a final one.
 */
function parseTokenPrefix(data: string, attemptId: string): StreamEvent | null {
  const prefix = `{"id":"${attemptId}","token_index":`;
  if (!data.startsWith(prefix) || !data.endsWith("}") || !data.includes(unfinishedField, prefix.length)) {
    return null;
  }
  let tokenIndex = 0;
  let position = prefix.length;
  for (; position < prefix.length + maxIndexDigits; position += 1) {
    const digit = data.charCodeAt(position) - zeroCharCode;
    if (digit < 0 || digit > 9) {
      break;
    }
    tokenIndex = tokenIndex * 10 + digit;
  }
  if (position === prefix.length || data[position] !== ",") {
    return null;
  }
  return { kind: StreamEventKind.Token, tokenIndex, tail: data.slice(position), finishReason: null };
}

function parseFullEvent(data: string, attemptId: string): StreamEvent {
  let chunk: EngineChunk | null;
  try {
    chunk = JSON.parse(Buffer.from(data, "latin1").toString("utf8")) as EngineChunk | null;
  } catch {
    return { kind: StreamEventKind.Malformed };
  }
  if (typeof chunk !== "object" || chunk === null) {
    return { kind: StreamEventKind.Malformed };
  }
  if (chunk.error !== undefined) {
    return { kind: StreamEventKind.Error };
  }
  if (chunk.id !== attemptId) {
    return { kind: StreamEventKind.Foreign };
  }
  const finishReason = chunk.choices?.[0]?.finish_reason ?? null;
  if (Number.isSafeInteger(chunk.token_index)) {
    const rest: Record<string, unknown> = { ...chunk };
    delete rest.id;
    delete rest.token_index;
    const restText = Buffer.from(JSON.stringify(rest), "utf8").toString("latin1");
    const tail = restText === "{}" ? "}" : `,${restText.slice(1)}`;
    return { kind: StreamEventKind.Token, tokenIndex: chunk.token_index as number, tail, finishReason };
  }
  if (finishReason === null) {
    return { kind: StreamEventKind.Empty };
  }
  const tokenCount = chunk.usage?.completion_tokens;
  const cachedTokenCount = chunk.usage?.prompt_tokens_details?.cached_tokens;
  return {
    kind: StreamEventKind.Final,
    finishReason,
    tokenCount: typeof tokenCount === "number" ? tokenCount : null,
    cachedTokenCount: typeof cachedTokenCount === "number" ? cachedTokenCount : null,
  };
}
