import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";

/** Response to `fetchEntries` with `since`. */
export interface FetchEntriesResponse {
  /** Identifies the directory that numbers the versions; changes when the relay restarts. */
  readonly directory: string;
  readonly version: number;
  /** True when the response is a full list, which replaces what the client holds. */
  readonly full: boolean;
  readonly entries: readonly EntryAnnouncement[];
  /** Names of entries that have left since then. */
  readonly removed: readonly string[];
}
