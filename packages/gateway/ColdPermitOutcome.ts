/** Outcome of a request for a permit of a cold target. */
export enum ColdPermitOutcome {
  /** The permit could be used at once. */
  Granted = "granted",
  /** The request waited for the start of its permit. */
  Waited = "waited",
  /** No permit is free in time. */
  Refused = "refused",
  /** No coordinator answered, none knows which one leads, or the leader is of an earlier release. */
  Failed = "failed",
  /** A granted permit was not used in time, or was granted before the target became cold. */
  Expired = "expired",
}
