import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";

/** Answer to `fetchTargets` with `since`. */
export interface FetchTargetsResponse {
  /** Names the directory that counts the versions; changes when the relay restarts. */
  readonly directory: string;
  readonly version: number;
  /** Digest of the assigned subset; empty without a subset. */
  readonly subset: string;
  /** True when the answer starts a new list, which replaces what the asker holds. */
  readonly full: boolean;
  readonly targets: readonly TargetAnnouncement[];
  /** Targets of this answer with a weight below 1. */
  readonly weights: Readonly<Record<string, number>>;
  /** Names of targets that have left since. */
  readonly removed: readonly string[];
  /** More changes are held; ask again at once. */
  readonly more: boolean;
}
