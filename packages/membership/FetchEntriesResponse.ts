import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";

/** Answer to `fetchEntries` with `since`. */
export interface FetchEntriesResponse {
  /** Names the directory that counts the versions; changes when the relay restarts. */
  readonly directory: string;
  readonly version: number;
  /** True when the answer is a whole list, which replaces what the asker holds. */
  readonly full: boolean;
  readonly entries: readonly EntryAnnouncement[];
  /** Names of entries that have left since. */
  readonly removed: readonly string[];
}
