/** Outcome of a request for a permit at the leader. */
export enum PermitOutcome {
  Granted = "granted",
  Refused = "refused",
}
