import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";

/** Body of `announce`. */
export interface AnnounceRequest extends TargetAnnouncement {
  /** True when the target stops accepting work; a tombstone then replaces its record. */
  readonly leaving?: boolean;
}
