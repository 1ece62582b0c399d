/** What an operator asks for: that a failure domain is evacuated, or that its evacuation ends. */
export interface EvacuationChange {
  readonly failureDomain: string;
  readonly isEvacuated: boolean;
}
