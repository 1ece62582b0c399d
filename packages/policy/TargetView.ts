import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { LoadReport } from "./LoadReport";

/** What an entry knows of a target. */
export interface TargetView {
  readonly announcement: TargetAnnouncement;
  /** False while the agent refuses work or its stamp is too old to be echoed. */
  readonly accepting: boolean;
  /** Weight below 1 while the target is suspect, 1 otherwise. */
  readonly membershipWeight: number;
  /** Last load report; null when none has arrived. */
  readonly load: LoadReport | null;
}
