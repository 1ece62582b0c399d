import type { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { ModelAttempt } from "./ModelAttempt";
import type { StreamFault } from "./StreamFault";

/**
 * Receives the events of an attempt. None follow after `onCompleted`, `onEnded`, `onRejected` or
 * `onNotResumable`.
 */
export interface ModelAttemptListener {
  /** Returns false to end the attempt, because its tokens do not continue the response. */
  onToken(attempt: ModelAttempt, tokenIndex: number, tail: string): boolean;
  /** Called after the tokens of one received chunk. */
  onChunkEnd(attempt: ModelAttempt): void;
  onFault(attempt: ModelAttempt, fault: StreamFault): void;
  /** `tokenCount` is the response's token count as reported by the engine; null when it reports none. */
  onCompleted(attempt: ModelAttempt, finishReason: string, tokenCount: number | null): void;
  /**
   * Number of prompt tokens that the engine had cached. Called before `onCompleted`, for a fresh start only.
   */
  onCachedTokens(attempt: ModelAttempt, tokenCount: number): void;
  onEnded(attempt: ModelAttempt, end: AttemptEndKind): void;
  /** The engine rejected the request as invalid. */
  onRejected(attempt: ModelAttempt): void;
  /** No mode is left to continue after the tokens already sent. */
  onNotResumable(attempt: ModelAttempt): void;
}
