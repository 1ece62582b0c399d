import type { Claimant } from "./Claimant";

/** Body of `claim`. Committed before the request is dispatched. */
export interface ClaimRequest {
  readonly team: string;
  readonly key: string;
  /** SHA-256 of method, path and body, in hex. */
  readonly bodyDigest: string;
  readonly claimant: Claimant;
  /** Unique for each request that the claimant receives; a repeated claim names the same one. */
  readonly requestId: string;
  /** Time that the caller states for the key, in ms since the Unix epoch; null when it states none. */
  readonly createdAtMs: number | null;
}
