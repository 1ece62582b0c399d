import type { ByteBudget } from "./ByteBudget";
import type { CallFailure } from "./CallFailure";
import type { TargetAnswer } from "./TargetAnswer";
import type { TargetCallOptions } from "./TargetCallOptions";

/** A call to a target and what is to be done with its answer. */
export interface AttemptOptions {
  readonly targetId: string;
  /** Whether a successful answer is a series of events. */
  readonly isStream: boolean;
  /** Longest time without an event of a stream that is read; null for none. */
  readonly stallMs: number | null;
  readonly call: TargetCallOptions;
  /** Budget for what is held of the answer until it is complete. */
  readonly heldBytes: ByteBudget;
  /** The head of an answer to this request; called once, before everything else that follows from it. */
  readonly onAnswer: (answer: TargetAnswer) => void;
  /** A complete answer that is not a stream. */
  readonly onWhole: (status: number, headers: readonly string[], body: Buffer) => void;
  /** Headers of a stream; called once before its first event. */
  readonly onBegin: (status: number, headers: readonly string[]) => void;
  readonly onEvent: (bytes: Buffer, id: string | null) => void;
  /** The stream has ended with a complete event. */
  readonly onComplete: () => void;
  /** The target states that it has not run the request; it may blame another one. */
  readonly onNotRun: (faultyTarget: string | null) => void;
  readonly onFailure: (failure: CallFailure, isSent: boolean, detail: string) => void;
  /** The target's place is free again; called once, whatever the end. */
  readonly onReleased: () => void;
}
