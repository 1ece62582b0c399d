import type { Outcome } from "@clementinemux/common/Outcome";
import type { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { RetryReason } from "@clementinemux/common/RetryReason";
import type { PolicyActionKind } from "./PolicyActionKind";

/** An action that the entry must carry out. Actions are carried out in order. */
export type PolicyAction =
  | {
      readonly kind: PolicyActionKind.Dispatch;
      readonly requestId: string;
      readonly attemptId: string;
      readonly target: string;
      readonly enginePriority: number;
      /** Null for the first attempt. */
      readonly retryReason: RetryReason | null;
      /** Whether the attempt continues after the tokens already sent to the caller. */
      readonly resume: boolean;
    }
  | {
      readonly kind: PolicyActionKind.Refuse;
      readonly requestId: string;
      readonly reason: RefusalReason;
      readonly outcome: Outcome;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: PolicyActionKind.CancelAttempt;
      readonly requestId: string;
      readonly attemptId: string;
      readonly reason: RefusalReason | RetryReason;
    };
