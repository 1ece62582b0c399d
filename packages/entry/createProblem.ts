import type { Outcome } from "@clementinemux/common/Outcome";
import type { Random } from "@clementinemux/common/Random";
import type { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { Problem } from "./Problem";
import { getProblemStatus } from "./getProblemStatus";

interface Refusal {
  readonly requestId: string;
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly retryAfterMs?: number;
  readonly addresses?: readonly string[];
}

const defaultRetryAfterMs = 1000;

/**
 * Creates the error for a caller. The retry delay has 50% jitter, so that callers do not retry
 * simultaneously.
 */
export function createProblem(refusal: Refusal, random: Random): Problem {
  const retryAfterMs = (refusal.retryAfterMs ?? defaultRetryAfterMs) * (0.5 + random());
  return {
    type: "about:blank",
    title: refusal.reason.replaceAll("_", " "),
    status: getProblemStatus(refusal.reason),
    outcome: refusal.outcome,
    reason: refusal.reason,
    requestId: refusal.requestId,
    retryAfterMs: Math.round(retryAfterMs),
    ...(refusal.addresses === undefined ? {} : { addresses: refusal.addresses }),
  };
}
