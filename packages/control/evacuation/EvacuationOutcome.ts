/** Outcomes of an operator's call to start or end the evacuation of a failure domain. */
export enum EvacuationOutcome {
  Acknowledged = "acknowledged",
  /** No target, gateway or coordinator of the failure domain is known, and it was not evacuated. */
  UnknownFailureDomain = "unknown_failure_domain",
  /** Nothing is known to be stored: no leader answered in time, or this coordinator does not know all targets yet. */
  Unavailable = "unavailable",
}
