import type { Claimant } from "./Claimant";

/**
 * Body of `cancelClaim`, sent by the claimant after it has given up the right to dispatch. The request named by
 * `requestId` is never granted a claim of this key afterwards.
 */
export interface CancelClaimRequest {
  readonly team: string;
  readonly key: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  /** Null when the answer to the claim was lost: cancels whatever claim the request holds, or none. */
  readonly attempt: number | null;
}
