import type { Member } from "@clementinemux/consensus/Member";

/** A replica that has announced itself to its peers. */
export interface AnnouncedReplica {
  readonly member: Member;
  /** Whether its files outlast the process; a replica without a disk may learn, but must not vote. */
  readonly isDurable: boolean;
}
