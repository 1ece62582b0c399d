/** A target that could be chosen for a request. */
export interface TargetCandidate {
  readonly id: string;
  readonly slots: number;
  /** Requests in flight at it, from all gateways. */
  readonly load: number;
  /** Preference by the target's health and slowdown, up to 1. */
  readonly weight: number;
  /** Whether it is in the gateway's own failure domain. */
  readonly isNear: boolean;
}
