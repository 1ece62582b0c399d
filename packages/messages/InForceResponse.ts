/** Answer to `inForce`. */
export interface InForceResponse {
  /** Whether every process that may be serving has applied the revision. */
  readonly inForce: boolean;
  /** Regions that may serve without control by a listed exception, and so cannot be confirmed. */
  readonly unconfirmedRegions: readonly string[];
}
