import type { TokenSource } from "./TokenSource";

/** State of one stream in the engine. It can be resumed, exported and imported. */
export interface EngineStream {
  readonly attemptId: string;
  readonly isChat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly seed: number;
  /** Characters at the start of the prompt that were in the prefix cache. */
  cachedCharacters: number;
  readonly maxTokenCount: number;
  readonly priority: number;
  readonly source: TokenSource;
  /** Tokens computed so far. */
  readonly tokens: string[];
  /** Index of the next token to send. */
  nextTokenIndex: number;
  /** Engine time at which the prefill is complete and decoding begins. */
  readyAtMs: number;
  /** Sends a token to the caller; null while none is connected. */
  send: ((token: string, index: number) => void) | null;
  finish: (() => void) | null;
  /** Whether the connection accepts more tokens now. */
  canSend: () => boolean;
  /** Engine time after which a stream without a connected caller is evicted. */
  expiresAtMs: number;
}
