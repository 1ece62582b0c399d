import type { Outcome } from "@clementinemux/common/Outcome";
import type { RefusalReason } from "@clementinemux/common/RefusalReason";

/** Error sent to a caller: the body of `application/problem+json` or of an error event. */
export interface Problem {
  readonly type: "about:blank";
  readonly title: string;
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  readonly requestId: string;
  readonly retryAfterMs: number;
  /** Entries to use instead when this one cannot accept the request. */
  readonly addresses?: readonly string[];
}
