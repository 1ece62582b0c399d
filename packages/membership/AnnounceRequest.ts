import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";

/** Body of `announce`. */
export interface AnnounceRequest extends TargetAnnouncement {
  /** The target stops accepting work; its record is replaced by a tombstone. */
  readonly leaving?: boolean;
}
