import type { RequestClass } from "@clementinemux/common/RequestClass";
import type { TargetKind } from "@clementinemux/common/TargetKind";

/** Properties of a request that the policy decides on. Times are monotonic milliseconds. */
export interface PolicyRequest {
  readonly requestId: string;
  readonly team: string;
  readonly kind: TargetKind;
  /** Model name for an engine, service name for a plain service. */
  readonly model: string;
  readonly adapter: string;
  readonly requestClass: RequestClass;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly promptTokenCount: number;
  readonly maxTokenCount: number;
  /** Hashes of the prompt's prefix blocks, shortest prefix first. */
  readonly prefixHashes: readonly number[];
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
}
