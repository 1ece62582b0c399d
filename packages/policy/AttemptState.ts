import type { TargetState } from "./TargetState";

/** An attempt in flight. */
export interface AttemptState {
  readonly attemptId: string;
  readonly target: TargetState;
  readonly sentAtMs: number;
  readonly predictedFirstTokenMs: number;
  readonly predictedUncachedTokenCount: number;
  readonly isHedge: boolean;
  firstTokenAtMs: number | null;
  tokenCount: number;
}
