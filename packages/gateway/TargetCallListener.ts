import type { CallFailure } from "./CallFailure";
import type { TargetResponse } from "./TargetResponse";

/** Callbacks of one call to a target. Nothing follows `onFailure` or `onEnd`. */
export interface TargetCallListener {
  readonly onResponse: (response: TargetResponse, headers: readonly string[]) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: CallFailure, detail: string) => void;
}
