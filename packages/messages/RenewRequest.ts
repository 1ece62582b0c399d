import type { LeaseholderKind } from "./LeaseholderKind";

/** Body of `renew`: requests a serving lease. For the holder, the lease starts when it sends the request. */
export interface RenewRequest {
  readonly holder: string;
  readonly incarnation: string;
  readonly kind: LeaseholderKind;
  readonly failureDomain: string;
  readonly region: string;
  /** Highest revision that the holder has applied; for a relay, the lowest among its leaseholders. */
  readonly appliedRevision: number;
  /**
   * Set only by a relay: revision of its own copy of the configuration. It needs the changes after this one.
   */
  readonly viewRevision?: number | undefined;
}
