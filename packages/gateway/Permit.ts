import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

/** Allows one send to a limited target, for a short time. Times are those of the gateway's clock. */
export interface Permit {
  readonly target: TargetRecord;
  /** Whether it was granted for a cold target, so that it may be used while the target is cold. */
  readonly isForCold: boolean;
  readonly startAtMs: number;
  readonly endAtMs: number;
}
