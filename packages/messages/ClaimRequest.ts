import type { Claimant } from "./Claimant";

/** Body of `claim`. The claim is committed before the request is dispatched. */
export interface ClaimRequest {
  readonly team: string;
  readonly key: string;
  /** SHA-256 of method, path and body, in hex. */
  readonly bodyDigest: string;
  readonly claimant: Claimant;
  /** Unique for each request that the claimant receives; a retry of the claim has the same value. */
  readonly requestId: string;
  /** Creation time of the key as stated by the caller, in ms since the Unix epoch; null when not stated. */
  readonly createdAtMs: number | null;
}
