import type { CallFailure } from "./CallFailure";
import type { TargetAnswer } from "./TargetAnswer";

/** Callbacks of one call to a target. Nothing follows `onFailure` or `onEnd`. */
export interface TargetCallListener {
  readonly onResponse: (response: TargetAnswer, headers: readonly string[]) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: CallFailure, detail: string) => void;
}
