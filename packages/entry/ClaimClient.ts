import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";

/** Records of non-repeatable requests in control. */
export interface ClaimClient {
  /** Resolves with null when no committed answer was received. */
  claim(request: ClaimRequest): Promise<ClaimResponse | null>;
  /** Resolves with whether the answer is known to be recorded. */
  complete(request: CompleteClaimRequest): Promise<boolean>;
  /** Resolves with whether the claim is cancelled; null when no committed answer was received. */
  cancel(request: CancelClaimRequest): Promise<boolean | null>;
}
