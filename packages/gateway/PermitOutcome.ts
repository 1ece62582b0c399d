/** Outcome of a gateway's request for a permit of a limited target. */
export enum PermitOutcome {
  Granted = "granted",
  /** No permit is free in time. */
  Refused = "refused",
  /** No coordinator answered, or none knows which one leads. */
  Failed = "failed",
  /** A granted permit was not used in time. */
  Expired = "expired",
}
