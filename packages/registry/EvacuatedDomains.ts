/** Failure domains whose targets get nothing more, as coordinators tell gateways. */
export interface EvacuatedDomains {
  /** Increases with each applied command; 0 before the first one. */
  readonly revision: number;
  readonly failureDomains: readonly string[];
}
