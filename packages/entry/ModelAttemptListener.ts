import type { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { ModelAttempt } from "./ModelAttempt";
import type { StreamFault } from "./StreamFault";

/** Hears what an attempt yields. After `onCompleted`, `onEnded` or `onRejected` it hears nothing more. */
export interface ModelAttemptListener {
  /** Returns false to end the attempt: its tokens do not continue the answer. */
  onToken(attempt: ModelAttempt, tokenIndex: number, tail: string): boolean;
  /** After the tokens of one received chunk. */
  onChunkEnd(attempt: ModelAttempt): void;
  onFault(attempt: ModelAttempt, fault: StreamFault): void;
  /** `tokenCount` counts this attempt's position at its end; null when the engine states none. */
  onCompleted(attempt: ModelAttempt, finishReason: string, tokenCount: number | null): void;
  /** The engine had so many tokens of the prompt in its cache. Heard before `onCompleted`, for a fresh start only. */
  onCachedTokens(attempt: ModelAttempt, tokenCount: number): void;
  onEnded(attempt: ModelAttempt, end: AttemptEndKind): void;
  /** The engine has judged the request itself as wrong. */
  onRejected(attempt: ModelAttempt): void;
  /** No way is left to continue after the tokens already sent. */
  onNotResumable(attempt: ModelAttempt): void;
}
