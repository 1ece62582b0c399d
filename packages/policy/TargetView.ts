import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { LoadReport } from "./LoadReport";

/** A target as an entry sees it. */
export interface TargetView {
  readonly announcement: TargetAnnouncement;
  /** False while the agent rejects requests, or while its stamp is too old to be sent with a request. */
  readonly accepting: boolean;
  /** Below 1 while the target is suspected of failure, 1 otherwise. */
  readonly membershipWeight: number;
  /** Last load report; null when none has arrived. */
  readonly load: LoadReport | null;
}
