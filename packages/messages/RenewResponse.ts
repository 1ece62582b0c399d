import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { RevisionChange } from "./RevisionChange";

/** Answer to `renew`. The lease is granted only when `confirmed` is true. */
export interface RenewResponse {
  /** Epoch of the leader that confirmed the revision. */
  readonly epoch: number;
  /** Current revision, confirmed by the leader's lease when `confirmed` is true. */
  readonly revision: number;
  readonly confirmed: boolean;
  readonly leaseMs: number;
  /** Changes after `appliedRevision`, oldest first; empty when `config` is given. */
  readonly changes: readonly RevisionChange[];
  /** The whole configuration, when the changes are no longer held and it fits into one frame. */
  readonly config: FleetConfig | null;
  /** The holder lacks changes that do not fit: it has to fetch the configuration with `completeRenewal`. */
  readonly inParts?: boolean;
}
