import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { RecordKind } from "./RecordKind";

/**
 * Record of one process in the directory. Of two records with the same name, the one with the newer
 * incarnation wins, then the one with the higher `edit`, then the one with the greater origin. All relays
 * apply this rule, so relays that have exchanged their records agree.
 */
export interface DirectoryRecord {
  readonly kind: RecordKind;
  readonly name: string;
  readonly incarnation: string;
  /** Incremented by each change, whichever relay makes it; concurrent changes may get the same value. */
  readonly edit: number;
  /** Relay (name and incarnation) that made this version of the record. */
  readonly origin: string;
  /** Position among the changes of the origin. */
  readonly sequence: number;
  /** Null for a tombstone: the process has left or was removed. */
  readonly announcement: TargetAnnouncement | EntryAnnouncement | null;
  /** Share of the usual load that the target should get; below 1 while it is suspect but kept. */
  readonly weight: number;
}
