import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

/** Allows one send to a limited target, for a short time. Times are those of the gateway's clock. */
export interface Permit {
  readonly target: TargetRecord;
  readonly startAtMs: number;
  readonly endAtMs: number;
}
