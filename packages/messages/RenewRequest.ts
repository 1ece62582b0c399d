import type { LeaseholderKind } from "./LeaseholderKind";

/** Body of `renew`: asks for a serving lease, counted by the sender from the moment of sending. */
export interface RenewRequest {
  readonly holder: string;
  readonly incarnation: string;
  readonly kind: LeaseholderKind;
  readonly failureDomain: string;
  readonly region: string;
  /** Highest revision that the holder has applied; for a relay, the lowest among its leaseholders. */
  readonly appliedRevision: number;
  /** Only from a relay: revision of its own copy, after which it needs the changes. */
  readonly viewRevision?: number | undefined;
}
