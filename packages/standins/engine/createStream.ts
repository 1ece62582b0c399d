import type { CompletionBody } from "./CompletionBody";
import type { EngineStream } from "./EngineStream";
import { TokenSource } from "./TokenSource";
import { getPromptText } from "./getPromptText";

interface StreamOptions {
  readonly attemptId: string;
  readonly isChat: boolean;
  readonly priority: number;
  readonly body: CompletionBody;
  /** Seed of an imported stream; undefined for a new stream. */
  readonly seed: number | undefined;
  /** Tokens of an imported stream. */
  readonly tokens: readonly string[];
}

const defaultTokenCount = 16;
const seedRange = 0x7fffffff;

/** Creates the state of a stream. Without a given seed it is random, or 0 for greedy decoding. */
export function createStream(options: StreamOptions): EngineStream {
  const { body, tokens } = options;
  const defaultSeed = body.temperature === 0 ? 0 : Math.floor(Math.random() * seedRange);
  const seed = options.seed ?? body.seed ?? defaultSeed;
  const prompt = getPromptText(body);
  const source = new TokenSource(prompt, seed);
  const replayedTokens = tokens.map(() => source.next());
  return {
    attemptId: options.attemptId,
    isChat: options.isChat,
    model: body.model ?? "",
    prompt,
    seed,
    cachedCharacters: 0,
    maxTokenCount: body.max_tokens ?? defaultTokenCount,
    priority: options.priority,
    source,
    tokens: replayedTokens,
    nextTokenIndex: 0,
    readyAtMs: 0,
    send: null,
    finish: null,
    canSend: () => true,
    expiresAtMs: Infinity,
  };
}
