import type { RequestClass } from "@clementinemux/common/RequestClass";

/** Settings that an exception overrides. */
export interface ExceptionOverride {
  readonly requestClass?: RequestClass | undefined;
  readonly deadlineMs?: number | undefined;
  readonly requestsPerS?: number | undefined;
  readonly tokensPerS?: number | undefined;
  readonly weight?: number | undefined;
  readonly skewWeight?: number | undefined;
  readonly costWeight?: number | undefined;
  /** Whether entries of the region keep serving without a confirmed revision. */
  readonly serveWithoutControl?: boolean | undefined;
}
