/** Response to `inForce`. */
export interface InForceResponse {
  /** Whether every process that may be serving has applied the revision. */
  readonly inForce: boolean;
  /** Regions that an exception allows to serve without control, so that they cannot be confirmed. */
  readonly unconfirmedRegions: readonly string[];
}
