import type { EntryRecord } from "./EntryRecord";

/** A gateway's report to its coordinator, and what it holds. */
export interface SyncRequest {
  readonly entry: EntryRecord;
  readonly documentVersion: number;
  /** Registry state that the gateway holds; empty for none. */
  readonly registryState: string;
}
