import type { Claimant } from "./Claimant";

/** Body of `cancelClaim`, sent by the claimant after it has given up the right to dispatch. */
export interface CancelClaimRequest {
  readonly team: string;
  readonly key: string;
  readonly claimant: Claimant;
  readonly attempt: number;
}
