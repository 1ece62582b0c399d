import type { RecordedAnswer } from "@clementinemux/messages/RecordedAnswer";
import type { Problem } from "./Problem";

/** Where the tokens of an answer go. Tails are the rest of an event after the token index, as latin1. */
export interface AnswerSink {
  /** Whether the caller has received the start of an answer. */
  readonly started: boolean;
  addToken(tokenIndex: number, tail: string): void;
  /** Writes what was added. Returns false when the caller reads too slowly to take more now. */
  flush(target: string): boolean;
  onDrain(resume: () => void): void;
  finish(target: string, finishReason: string, tokenCount: number): void;
  fail(problem: Problem): void;
  /** The caller has left: nothing more is written, but the answer is still kept for the record. */
  detach(): void;
  /** The finished answer; null when it is too large to be recorded or was not kept. */
  getRecord(): RecordedAnswer | null;
}
