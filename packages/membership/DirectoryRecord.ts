import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { RecordKind } from "./RecordKind";

/**
 * One name in the directory. Of two records for a name, the one with the newer incarnation stands, then the
 * one with the higher `edit`, then the one from the greater origin; the rule is the same on every relay, so
 * relays that have exchanged their records agree.
 */
export interface DirectoryRecord {
  readonly kind: RecordKind;
  readonly name: string;
  readonly incarnation: string;
  /** Rises with each change of the record by any relay that had seen the previous one. */
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
