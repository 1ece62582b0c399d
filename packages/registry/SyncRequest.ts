import type { EntryRecord } from "./EntryRecord";
import type { TargetLife } from "./TargetLife";

/** A gateway's report to its coordinator, and what it holds. */
export interface SyncRequest {
  readonly entry: EntryRecord;
  readonly documentVersion: number;
  /** Registry state that the gateway holds; empty for none. */
  readonly registryState: string;
  /** Targets that told the gateway that they leave, as long as the registry does not say so itself. */
  readonly leaving: readonly TargetLife[];
}
