import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";

/** Response to `fetchTargets` with `since`. */
export interface FetchTargetsResponse {
  /** Identifies the directory that numbers the versions; changes when the relay restarts. */
  readonly directory: string;
  readonly version: number;
  /** Digest of the assigned subset; empty without a subset. */
  readonly subset: string;
  /** True when the response starts a new list, which replaces what the client holds. */
  readonly full: boolean;
  readonly targets: readonly TargetAnnouncement[];
  /** Weights below 1 of targets in this response, by name. */
  readonly weights: Readonly<Record<string, number>>;
  /** Names of targets that have left since then. */
  readonly removed: readonly string[];
  /** There are more changes; send the next request at once. */
  readonly more: boolean;
}
