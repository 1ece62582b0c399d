import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { RevisionChange } from "./RevisionChange";

/** Response to `renew`. The lease is granted only when `confirmed` is true. */
export interface RenewResponse {
  /** Epoch of the leader that confirmed the revision. */
  readonly epoch: number;
  /** Current revision, confirmed by the leader's lease when `confirmed` is true. */
  readonly revision: number;
  readonly confirmed: boolean;
  readonly leaseMs: number;
  /** Changes after `appliedRevision`, oldest first; empty when `config` is given. */
  readonly changes: readonly RevisionChange[];
  /** The complete configuration, when the changes are no longer retained and it fits into one frame. */
  readonly config: FleetConfig | null;
  /** The missing data does not fit into one frame: the holder has to fetch it with `completeRenewal`. */
  readonly inParts?: boolean;
}
