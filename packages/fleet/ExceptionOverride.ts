import type { RequestClass } from "@clementinemux/common/RequestClass";

/** What an exception changes. */
export interface ExceptionOverride {
  readonly requestClass?: RequestClass | undefined;
  readonly deadlineMs?: number | undefined;
  readonly requestsPerS?: number | undefined;
  readonly tokensPerS?: number | undefined;
  readonly weight?: number | undefined;
  readonly skewWeight?: number | undefined;
  readonly costWeight?: number | undefined;
  /** Entries of the region go on serving without a confirmed revision. */
  readonly serveWithoutControl?: boolean | undefined;
}
