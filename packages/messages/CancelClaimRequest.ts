import type { Claimant } from "./Claimant";

/**
 * Body of `cancelClaim`, sent by the claimant after it has abandoned the right to dispatch. The request named
 * by `requestId` is never granted a claim of this key afterwards.
 */
export interface CancelClaimRequest {
  readonly team: string;
  readonly key: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  /** Null when the response to the claim was lost: cancels the claim that the request holds, if any. */
  readonly attempt: number | null;
}
