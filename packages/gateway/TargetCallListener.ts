import type { CallFailure } from "./CallFailure";
import type { TargetAnswer } from "./TargetAnswer";

/** Receives what becomes of one call to a target. After `onFailure` or `onEnd` nothing follows. */
export interface TargetCallListener {
  readonly onAnswer: (answer: TargetAnswer, headers: readonly string[]) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The answer is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: CallFailure, detail: string) => void;
}
