import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { EntryRecord } from "./EntryRecord";
import type { TargetIncarnation } from "./TargetIncarnation";
import type { TargetLimit } from "./TargetLimit";

/** A gateway's report to its coordinator, with the versions of the state that it has. */
export interface SyncRequest {
  readonly entry: EntryRecord;
  readonly documentVersion: number;
  /**
   * Size of the largest document that the gateway takes in the response; it fetches a larger one in parts. Missing from
   * gateways of earlier releases, which take any document.
   */
  readonly maxDocumentBytes?: number;
  /** Registry state that the gateway has; empty if none. */
  readonly registryState: string;
  /**
   * Targets that have announced in a response that they are leaving, until the registry reports them as
   * leaving.
   */
  readonly leaving: readonly TargetIncarnation[];
  /** Missing from gateways of earlier releases. */
  readonly crashes?: CrashEvidence;
  /** What targets have stated to this gateway about their limits. Missing from gateways of earlier releases. */
  readonly limits?: readonly TargetLimit[];
  /** Revision of the evacuated failure domains that the gateway has. Missing from gateways of earlier releases. */
  readonly evacuationRevision?: number;
}
