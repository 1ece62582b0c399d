import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import type { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import type { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { RetryReason } from "@clementinemux/common/RetryReason";

/** A caller's request while this entry processes it. */
export interface Session {
  readonly request: PolicyRequest;
  dispatch(action: Extract<PolicyAction, { readonly kind: PolicyActionKind.Dispatch }>): void;
  refuse(action: Extract<PolicyAction, { readonly kind: PolicyActionKind.Refuse }>): void;
  cancelAttempt(attemptId: string, reason: RefusalReason | RetryReason): void;
  /** Checks the progress of the session's attempts. */
  tick(nowMs: number, defaults: FleetDefaults): void;
  /** Ends the request immediately with an explicit error. */
  endNow(reason: RefusalReason): void;
}
