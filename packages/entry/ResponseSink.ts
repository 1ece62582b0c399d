import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { Problem } from "./Problem";

/**
 * Writes a response's tokens to the caller. A tail is the rest of an event after the token index, as latin1.
 */
export interface ResponseSink {
  /** Whether the start of the response has been sent to the caller. */
  readonly started: boolean;
  addToken(tokenIndex: number, tail: string): void;
  /** Writes the added tokens. Returns false when the caller reads too slowly and writing should pause. */
  flush(target: string): boolean;
  onDrain(resume: () => void): void;
  finish(target: string, finishReason: string, tokenCount: number): void;
  fail(problem: Problem): void;
  /** Stops writing to the caller, who has disconnected. The response is still kept for the record. */
  detach(): void;
  /** Returns the complete response; null when it is too large to be recorded or was not kept. */
  getRecord(): RecordedResponse | null;
}
