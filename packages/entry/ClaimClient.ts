import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";

/** Client for the claims of non-repeatable requests, which control stores. */
export interface ClaimClient {
  /** Resolves with null when no committed response was received. */
  claim(request: ClaimRequest): Promise<ClaimResponse | null>;
  /** Resolves with whether the response is known to be recorded. */
  complete(request: CompleteClaimRequest): Promise<boolean>;
  /** Resolves with whether the claim is cancelled; null when no committed response was received. */
  cancel(request: CancelClaimRequest): Promise<boolean | null>;
}
